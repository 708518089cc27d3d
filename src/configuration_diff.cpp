#include "marigoldstep/configuration_diff.h"

#include "marigoldstep/placement.h"

#include <algorithm>

namespace marigoldstep {

namespace {

// Sampled chats per workspace and model. 1000 samples estimate a workspace's share
// within 3 percentage points at 95% confidence. With many workspaces each gets fewer
// samples, which still bounds the error of the mean.
constexpr std::size_t max_samples = 1000;
constexpr std::size_t min_samples = 20;
constexpr std::size_t max_total_samples = 1'000'000;
// Number of names that a sentence lists; further names are only counted.
constexpr std::size_t max_listed_names = 3;

std::string number_text(double value) {
  auto text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string seconds_text(milliseconds value) {
  constexpr double ms_per_second = 1000;
  return number_text(static_cast<double>(value.count()) / ms_per_second) + " s";
}

std::string list_text(const std::vector<std::string>& list) {
  std::string out;
  for (const auto& it : list) {
    out += (out.empty() ? "" : ", ") + it;
  }
  return out.empty() ? "none" : out;
}

// Collects changes. Entries of one kind with the same change share one line.
struct change_list {
  struct line {
    std::string kind;
    std::vector<std::string> names;
    std::string text;
  };
  std::vector<line> lines;
  std::string kind;
  std::string name;

  void add(const std::string& text) {
    auto it = std::find_if(lines.begin(), lines.end(), [&](const line& other) {
      return other.kind == kind && other.text == text;
    });
    if (it == lines.end()) {
      lines.push_back({kind, {name}, text});
    } else {
      it->names.push_back(name);
    }
  }
  void add(const std::string& what, const std::string& before, const std::string& after) {
    if (before != after) {
      add(what + " changes from " + before + " to " + after);
    }
  }
  void add(const std::string& what, milliseconds before, milliseconds after) {
    add(what, seconds_text(before), seconds_text(after));
  }
  void add(const std::string& what, double before, double after) {
    add(what, number_text(before), number_text(after));
  }
};

std::string subject_text(const change_list::line& line) {
  const auto n = line.names.size();
  if (line.names.front().empty()) {
    return line.kind;
  }
  if (n == 1) {
    return line.kind + " " + line.names.front();
  }
  std::vector<std::string> shown = line.names;
  if (n > max_listed_names) {
    shown.resize(max_listed_names);
    shown.push_back("and " + std::to_string(n - max_listed_names) + " more");
  }
  return std::to_string(n) + " " + line.kind + "s (" + list_text(shown) + ")";
}

// Calls compare for each entry that changed, and adds lines for added and removed
// entries. Entries are matched by name.
template <typename Entry, typename Compare>
void compare_entries(change_list& out, const std::string& kind,
                     const std::vector<Entry>& before, const std::vector<Entry>& after,
                     Compare compare) {
  const auto find = [](const std::vector<Entry>& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(),
                        [&name](const Entry& it) { return it.name == name; });
  };
  out.kind = kind;
  for (const auto& it : before) {
    const auto other = find(after, it.name);
    out.name = it.name;
    if (other == after.end()) {
      out.add("removed; callers are refused");
    } else if (!(it == *other)) {
      compare(it, *other);
    }
  }
  for (const auto& it : after) {
    if (find(before, it.name) == before.end()) {
      out.name = it.name;
      out.add("added");
    }
  }
}

std::string rules_text(const service_settings& service, bool repeatable) {
  std::vector<std::string> calls;
  for (const auto& it : service.rules) {
    if (it.repeatable == repeatable) {
      calls.push_back(it.method + " " + it.path_prefix);
    }
  }
  return list_text(calls);
}

std::string spread_text(std::uint32_t spread) {
  return spread == 0 ? "every replica" : std::to_string(spread);
}

std::string policy_text(control_loss_policy policy) {
  return policy == control_loss_policy::stop ? "refusing new work"
                                             : "continuing to serve";
}

void compare_limits(change_list& out, const limit_settings& a, const limit_settings& b) {
  out.kind = "limits";
  out.name.clear();
  out.add("the bound on an engine's load over the mean", a.load_multiple,
          b.load_multiple);
  out.add("the load limit that an engine always has", a.load_floor, b.load_floor);
  out.add("the attempts that an engine runs at once", a.engine_slots, b.engine_slots);
  out.add("the preference for cache reuse over even load (0 to 1)", a.reuse_bias,
          b.reuse_bias);
  out.add("the maximum request size in bytes", a.max_body_bytes, b.max_body_bytes);
  out.add("the maximum answer size in bytes", a.max_answer_bytes, b.max_answer_bytes);
  out.add("retries per 100 requests", a.retry_budget_percent, b.retry_budget_percent);
  out.add("the time to resume an answer", a.resume_window, b.resume_window);
  out.add("the time limit of a planned stop", a.drain_limit, b.drain_limit);
  out.add("the time in which a call may be sent again", a.claim_retention,
          b.claim_retention);
  out.add("without control the fleet goes on by", policy_text(a.on_control_loss),
          policy_text(b.on_control_loss));
  out.add("model loads per minute (0: no limit)", a.loads_per_minute, b.loads_per_minute);
}

// Placement table of the pool that serves the model.
placement_table make_model_table(const configuration& config,
                                 std::span<const server_info> servers,
                                 const std::string& model) {
  const auto* pool = find_pool(config, model);
  return pool == nullptr ? placement_table{} : make_placement_table(servers, pool->name);
}

// Whether no chat of the workspace can move, which makes sampling unnecessary.
bool has_same_placement(const placement_table& a, const placement_table& b,
                        const workspace_settings& before,
                        const workspace_settings* after) {
  return after != nullptr && before.spread == after->spread && a.servers == b.servers;
}

// Node id of the chat's first candidate; empty when there is none.
std::string first_candidate(const placement_table& table,
                            const workspace_settings& workspace,
                            const std::string& chat) {
  const auto key = make_placement_key(workspace.name, chat, workspace.spread);
  const auto found = find_candidates(table, key, 1);
  return found.count == 0 ? std::string() : table.servers[found.index[0]].node_id;
}

} // namespace

std::vector<std::string> describe_changes(const configuration& before,
                                          const configuration& after) {
  change_list out;
  out.kind = "fleet";
  out.add("the name", before.fleet, after.fleet);
  compare_entries(out, "pool", before.pools, after.pools,
                  [&out](const pool_settings& a, const pool_settings& b) {
                    out.add("its models", list_text(a.models), list_text(b.models));
                    out.add("fencing tokens are checked by",
                            a.checks_fencing ? "engines" : "agents",
                            b.checks_fencing ? "engines" : "agents");
                  });
  compare_entries(out, "service", before.services, after.services,
                  [&out](const service_settings& a, const service_settings& b) {
                    out.add("the deadline", a.deadline, b.deadline);
                    out.add("calls that run at most once", rules_text(a, false),
                            rules_text(b, false));
                    out.add("calls that may be repeated", rules_text(a, true),
                            rules_text(b, true));
                  });
  compare_entries(
      out, "workspace", before.workspaces, after.workspaces,
      [&out](const workspace_settings& a, const workspace_settings& b) {
        out.add("its share", a.weight, b.weight);
        out.add("its models", list_text(a.models), list_text(b.models));
        out.add("its default priority", std::string(name(a.default_priority)),
                std::string(name(b.default_priority)));
        out.add("the deadline of short calls", a.short_deadline, b.short_deadline);
        out.add("the deadline of patient calls", a.patient_deadline, b.patient_deadline);
        out.add("replicas that its chats use", spread_text(a.spread),
                spread_text(b.spread));
      });
  compare_limits(out, before.limits, after.limits);
  std::vector<std::string> sentences;
  for (const auto& it : out.lines) {
    sentences.push_back(subject_text(it) + ": " + it.text);
  }
  return sentences;
}

std::vector<moved_chats> estimate_moved_chats(
    const configuration& before, std::span<const server_info> servers_before,
    const configuration& after, std::span<const server_info> servers_after) {
  std::vector<moved_chats> out;
  const auto samples =
      std::clamp(max_total_samples / std::max<std::size_t>(before.workspaces.size(), 1),
                 min_samples, max_samples);
  for (const auto& old_settings : before.workspaces) {
    const auto* new_settings = find_workspace(after, old_settings.name);
    std::size_t moved = 0;
    std::size_t placed = 0;
    for (const auto& model : old_settings.models) {
      const auto old_table = make_model_table(before, servers_before, model);
      const auto new_table = make_model_table(after, servers_after, model);
      if (has_same_placement(old_table, new_table, old_settings, new_settings)) {
        placed += samples;
        continue;
      }
      for (std::size_t i = 0; i < samples; ++i) {
        const auto chat = "sample-" + std::to_string(i);
        const auto from = first_candidate(old_table, old_settings, chat);
        if (from.empty()) {
          continue;
        }
        ++placed;
        const bool stays = new_settings != nullptr &&
                           first_candidate(new_table, *new_settings, chat) == from;
        moved += stays ? 0 : 1;
      }
    }
    if (moved > 0) {
      out.push_back(
          {old_settings.name, static_cast<double>(moved) / static_cast<double>(placed)});
    }
  }
  return out;
}

double mean_moved_share(const configuration& before, std::span<const moved_chats> moved) {
  double total = 0;
  double sum = 0;
  for (const auto& it : before.workspaces) {
    total += it.weight;
  }
  for (const auto& it : moved) {
    const auto* workspace = find_workspace(before, it.workspace);
    sum += workspace == nullptr ? 0 : it.share * workspace->weight;
  }
  return total == 0 ? 0 : sum / total;
}

} // namespace marigoldstep
