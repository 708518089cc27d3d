#pragma once

// Includes the whole public interface of the core library.
#include "marigoldstep/configuration.h"
#include "marigoldstep/error.h"
#include "marigoldstep/fleet_state.h"
#include "marigoldstep/lease.h"
#include "marigoldstep/load_limit.h"
#include "marigoldstep/membership.h"
#include "marigoldstep/placement.h"
#include "marigoldstep/types.h"
#include "marigoldstep/verdict.h"
#include "marigoldstep/view_repair.h"
#include "marigoldstep/wire.h"
#include "marigoldstep/yaml_reader.h"
