#include "marigoldstep/io/request_fingerprint.h"

#include <catch2/catch.hpp>

#include <set>

using namespace marigoldstep;
using io::fingerprint;

TEST_CASE("requests that differ in path, query, caller or body are told apart") {
  const std::set<std::uint64_t> all{
      fingerprint({"GET", "h", "/a/b", "w", "x"}),
      fingerprint({"POST", "h", "/a/b", "w", "x"}),
      fingerprint({"GET", "i", "/a/b", "w", "x"}),
      fingerprint({"GET", "h", "/a/b?", "w", "x"}),
      fingerprint({"GET", "h", "/a/b", "v", "x"}),
      fingerprint({"GET", "h", "/a/b", "", "x"}),
      fingerprint({"GET", "h", "/a/b", "w", ""}),
      fingerprint({"GET", "h", "/a/b", "wx", ""}), // the body's byte in the workspace
      fingerprint({"GET", "h", "/a/", "bw", "x"}),
  };
  CHECK(all.size() == 9);
  CHECK(all.contains(fingerprint({"GET", "h", "/a/b", "w", "x"})));
}

// Computed with Python's hashlib.blake2b(digest_size=20).
TEST_CASE("gateways of different builds compute the same fingerprint") {
  CHECK(fingerprint({"GET", "h", "/a/b", "w", "x"}) == 0x507afcd981bcd186ULL);
}
