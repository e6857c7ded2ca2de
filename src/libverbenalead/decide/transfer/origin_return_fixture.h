#ifndef VERBENALEAD_DECIDE_TRANSFER_ORIGIN_RETURN_FIXTURE_H_
#define VERBENALEAD_DECIDE_TRANSFER_ORIGIN_RETURN_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <string>
#include <vector>

#include "decide/transfer/fake_outage_fleet.h"

namespace verbenalead::decide {

/// Bounds of docs/design/demands.md: time from the origin's return to its last
/// chunk in multiples of the link's time, and copies fetched from the origin.
constexpr double kMaxLinkTimeFactor = 1.05;
constexpr double kMaxCopies = 1.03;
/// Time from the last chunk at its first host to all hosts, up to 88 hosts and
/// with 300. Guards against regressions only: docs/design/demands.md requires
/// 300 ms, which isn't reached.
constexpr Duration kMaxTail = 950ms;
constexpr Duration kMaxLargeTail = 1100ms;

/// Common helpers of the tests of an origin that returns, at several sizes.
class OriginReturnFixture : public CppUnit::TestFixture {
 protected:
  static OutageScenario Outage(uint32_t hosts) {
    OutageScenario load;
    load.m_hosts = hosts;
    load.m_chunks = 96;
    load.m_origin_chunk = 45ms;
    load.m_host_chunk = 34ms;
    load.m_shared_probes = true;
    return load;
  }

  static void Print(const std::string& name,
                    const OutageScenario& load,
                    const OutageFleet& fleet) {
    std::printf(
        "%s hosts=%u missing=%u fetches/chunk=%.3f repeated=%u "
        "link_factor=%.3f half_ms=%lld tail_ms=%lld all_ms=%lld\n",
        name.c_str(), load.m_hosts, fleet.MissingAtOutage(),
        fleet.FetchesPerChunk(), fleet.RepeatedFetches(),
        fleet.LinkTimeFactor(),
        static_cast<long long>(ToMilliseconds(fleet.HalfDelay())),
        static_cast<long long>(ToMilliseconds(fleet.TailDelay())),
        static_cast<long long>(ToMilliseconds(fleet.CompletionDelay())));
  }

  static void CheckReturn(const std::string& name, const OutageScenario& load) {
    const bool large = load.m_hosts > 100;
    const std::vector<uint64_t> seeds =
        large ? std::vector<uint64_t>{1}
              : std::vector<uint64_t>{1, 2, 20261202};
    for (const uint64_t seed : seeds) {
      OutageFleet fleet(load, seed);
      CPPUNIT_ASSERT(fleet.Run());
      Print(name, load, fleet);
      CPPUNIT_ASSERT_EQUAL(0U, fleet.RepeatedFetches());
      CPPUNIT_ASSERT_LESSEQUAL(kMaxLinkTimeFactor, fleet.LinkTimeFactor());
      if (load.m_narrowing == 1)
        CPPUNIT_ASSERT_LESSEQUAL(large ? kMaxLargeTail : kMaxTail,
                                 fleet.TailDelay());
    }
  }
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_ORIGIN_RETURN_FIXTURE_H_
