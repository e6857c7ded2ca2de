#include <cppunit/extensions/HelperMacros.h>

#include "decide/transfer/transfer.h"
#include "decide/transfer/transfer_fixture.h"

namespace verbenalead::decide {
namespace {

/// Which host fetches which chunk from the origin, and when.
class OriginFetchesTest : public TransferFixture {
  CPPUNIT_TEST_SUITE(OriginFetchesTest);
  CPPUNIT_TEST(HostsDoNotAllFetchFromAReturnedOriginAtOnce);
  CPPUNIT_TEST(AnnouncedOriginFetchIsNotDuplicated);
  CPPUNIT_TEST(ReportWithUnknownChunksIsDetected);
  CPPUNIT_TEST(AbandonedOriginFetchIsTakenOver);
  CPPUNIT_TEST(RepeatedAnnouncementsDoNotBlockForEver);
  CPPUNIT_TEST(FailingOriginFetchesLeaveRoomForOthers);
  CPPUNIT_TEST(ChunksAreFetchedInOrderUpToTheLimit);
  CPPUNIT_TEST(NextHostSoonFetchesAChunkOfADeadHost);
  CPPUNIT_TEST(AnyCompletedOriginFetchEndsTheBackoff);
  CPPUNIT_TEST(ReleasedChunkIsNotFetchedByAllAtOnce);
  CPPUNIT_TEST(CorruptedFirstCopyIsFetchedAgain);
  CPPUNIT_TEST(ProbeUnderWayLeavesItsChunkToTheFirstHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against new weights that arrive seconds after the origin has
  // returned: during the outage the scheduled times of many hosts passed, and
  // all of them then fetch the same chunks. They have to wait for the first
  // ranks, which fetch each chunk soon.
  void HostsDoNotAllFetchFromAReturnedOriginAtOnce() {
    m_limits.m_takeover_delay = 1s;
    m_limits.m_max_origin_backoff = 500ms;
    std::vector<TransferMember> members;
    for (int host = 0; host < 20; ++host)
      members.push_back({"host-" + std::to_string(host), "a", "a"});
    std::vector<TransferState> states;
    for (const TransferMember& self : members)
      states.push_back(Start(self, members, 1));
    const TimePoint back = kStart + 8s;
    size_t fetched = 0;
    TimePoint first = TimePoint::max();
    for (TimePoint now = kStart; now < back + 1s; now += 10ms) {
      for (TransferState& state : states) {
        if (OriginFetches(state, now).empty())
          continue;
        if (now < back) {
          RecordChunkFailure(state, 0, false, now, m_random);
        } else {
          ++fetched;
          first = std::min(first, now);
        }
      }
    }
    CPPUNIT_ASSERT(first <= back + 500ms);
    // The first host, and up to a third of the hosts that wait for their time.
    CPPUNIT_ASSERT(fetched <= 6);
  }

  // Guards against new weights that arrive twice as late: the origin's link is
  // saturated, an origin fetch takes longer than the take-over delay, and the
  // next host in rank fetches the same chunk too.
  void AnnouncedOriginFetchIsNotDuplicated() {
    TransferState next = SecondRankedHost();
    TimePoint now = kStart;
    for (; now < kStart + 3s; now += 250ms) {
      RecordOriginFetches(next, {"x", {0, 77}, {}}, now);
      CPPUNIT_ASSERT(OriginFetches(next, now).empty());
    }
    RecordNeighbourChunks(next, FirstRankedHost(next), {0}, now);
    CPPUNIT_ASSERT(OriginFetches(next, now + 10s).empty());
  }

  void ReportWithUnknownChunksIsDetected() {
    CPPUNIT_ASSERT(HasOnlyKnownChunks({"x", {0, 2}, {1}}, 3));
    CPPUNIT_ASSERT(HasOnlyKnownChunks({}, 0));
    CPPUNIT_ASSERT(!HasOnlyKnownChunks({"x", {3}, {}}, 3));
    CPPUNIT_ASSERT(!HasOnlyKnownChunks({"x", {}, {0, 3}}, 3));
  }

  // Guards against a chunk that never arrives: the host that announced its
  // origin fetch has died.
  void AbandonedOriginFetchIsTakenOver() {
    TransferState next = SecondRankedHost();
    RecordOriginFetches(next, {"x", {0}, {}}, kStart + 900ms);
    const TimePoint timed_out =
        kStart + 900ms + 3 * m_limits.m_announcement_ttl / 2;
    CPPUNIT_ASSERT(OriginFetches(next, timed_out - 1ms).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, OriginFetches(next, timed_out).size());
  }

  // Guards against a chunk that never arrives: one host, which cannot reach the
  // origin, announces one fetch after the other, and all other hosts wait for
  // it.
  void RepeatedAnnouncementsDoNotBlockForEver() {
    TransferState next = SecondRankedHost();
    TimePoint now = kStart;
    while (OriginFetches(next, now).empty() && now < kStart + 60s) {
      now += 250ms;
      RecordOriginFetches(next, {"x", {0}, {}}, now);
    }
    CPPUNIT_ASSERT(now <= kStart + 5 * m_limits.m_takeover_delay);
  }

  // The same with a limit on concurrent origin fetches: hosts that cannot reach
  // the origin use up the whole limit.
  void FailingOriginFetchesLeaveRoomForOthers() {
    m_limits.m_max_origin_fetches = 2;
    TransferState next = SecondRankedHost();
    TimePoint now = kStart;
    while (OriginFetches(next, now).empty() && now < kStart + 60s) {
      now += 250ms;
      RecordOriginFetches(next, {"x", {0}, {}}, now);
      RecordOriginFetches(next, {"y", {0}, {}}, now);
    }
    CPPUNIT_ASSERT(now <= kStart + 5 * m_limits.m_takeover_delay);
  }

  // Guards against new weights that arrive seconds late: hosts that started
  // late scheduled their origin fetches from their own start, and the origin's
  // link was idle half of the time.
  void ChunksAreFetchedInOrderUpToTheLimit() {
    m_limits.m_origin_interval = 100ms;
    m_limits.m_max_origin_fetches = 3;
    m_limits.m_max_own_origin_fetches = 10;
    TransferState state = Start(kSelf, {kSelf}, 10);
    CPPUNIT_ASSERT(OriginFetches(state, kStart) ==
                   std::vector<uint32_t>({0, 1, 2}));
    RecordChunkArrival(state, 1, kStart + 10ms);
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 10ms) ==
                   std::vector<uint32_t>{3});
    // Another host announces a fetch, and then its completion.
    RecordChunkArrival(state, 0, kStart + 20ms);
    RecordOriginFetches(state, {"x", {4}, {}}, kStart + 20ms);
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 20ms).empty());
    RecordOriginFetches(state, {"x", {}, {4}}, kStart + 30ms);
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 30ms) ==
                   std::vector<uint32_t>{5});
  }

  // Guards against last chunks of new weights that arrive seconds after the
  // others: the hosts of rank 0 for these chunks are dead but still listed, and
  // the next ranks wait for their scheduled time.
  void NextHostSoonFetchesAChunkOfADeadHost() {
    m_limits.m_origin_interval = 10s;
    m_limits.m_max_origin_fetches = 2;
    TransferState next = SecondRankedHost();
    CPPUNIT_ASSERT(OriginFetches(next, kStart).empty());
    const TimePoint soon = kStart + m_limits.m_announcement_ttl / 2;
    CPPUNIT_ASSERT(OriginFetches(next, soon - 1ms).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, OriginFetches(next, soon).size());
  }

  // Guards against new weights that arrive half a second later than possible:
  // the origin is available again, but hosts whose fetches failed are still in
  // backoff.
  void AnyCompletedOriginFetchEndsTheBackoff() {
    m_limits.m_max_origin_fetches = 1;
    m_limits.m_origin_interval = 100ms;
    TransferState state = Start(kSelf, {kSelf}, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, OriginFetches(state, kStart).size());
    RecordChunkFailure(state, 0, false, kStart, m_random);
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 10ms).empty());
    RecordOriginFetches(state, {"x", {}, {1}}, kStart + 20ms);
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 20ms) ==
                   std::vector<uint32_t>{0});
  }

  // Guards against new weights that are complete on no host before the origin
  // becomes unreachable: the only copy of a chunk became corrupt, and its host
  // still listed it as stored.
  void CorruptedFirstCopyIsFetchedAgain() {
    m_limits.m_max_origin_fetches = 8;
    const std::vector<TransferMember> members = {kSelf, kSameDataCenter,
                                                 kSameRegion};
    TransferState fetcher = Start(kSelf, members, 1);
    TimePoint now = kStart;
    while (OriginFetches(fetcher, now).empty())
      now += 10ms;
    RecordChunkArrival(fetcher, 0, now);
    CPPUNIT_ASSERT(IsComplete(fetcher));
    RecordChunkLoss(fetcher, 0, now);
    CPPUNIT_ASSERT(!IsComplete(fetcher));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, OriginFetches(fetcher, now).size());
    // A neighbour that has the chunk is preferred to the origin.
    RecordChunkArrival(fetcher, 0, now);
    RecordNeighbourChunks(fetcher, "b", {0}, now);
    RecordChunkLoss(fetcher, 0, now);
    CPPUNIT_ASSERT(OriginFetches(fetcher, now).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fetcher.m_fetching.size());
  }

  // Guards against fetching one chunk many times when the origin returns: the
  // chunk had been open for seconds while the attempts of other hosts to fetch
  // it failed, so that the waiting time of all hosts had expired at once.
  void ReleasedChunkIsNotFetchedByAllAtOnce() {
    m_limits.m_max_origin_fetches = 1;
    TransferState next = SecondRankedHost();
    CPPUNIT_ASSERT(OriginFetches(next, kStart).empty());
    TimePoint now = kStart + 10ms;
    for (; now < kStart + 800ms; now += 250ms) {
      RecordOriginFetches(next, {"x", {0}, {}}, now);
      CPPUNIT_ASSERT(OriginFetches(next, now).empty());
    }
    RecordOriginFetches(next, {"x", {}, {}}, now);
    const TimePoint open = now - 250ms + m_limits.m_announcement_ttl;
    CPPUNIT_ASSERT(OriginFetches(next, open).empty());
    CPPUNIT_ASSERT(
        OriginFetches(next, open + m_limits.m_announcement_ttl / 2 - 1ms)
            .empty());
    CPPUNIT_ASSERT_EQUAL(
        size_t{1},
        OriginFetches(next, open + m_limits.m_announcement_ttl / 2).size());
  }

  // Guards against a chunk that the origin sends twice: it returns while the
  // probes of two hosts are under way, and one of them is answered first. The
  // host of rank 0 then fetches the chunk of the other probe.
  void ProbeUnderWayLeavesItsChunkToTheFirstHost() {
    m_limits.m_shared_probes = true;
    const TimePoint lost = kStart + 60s;
    const TimePoint back = lost + 500ms;
    for (const uint16_t rank : {0, 1}) {
      TransferState state = HostOfRank(rank);
      RecordOriginFetches(state, {"x", {0}, {}, OriginStatus::kProbed}, lost);
      TimePoint now = lost;
      while (OriginFetches(state, now).empty() && now < back)
        now += 10ms;
      CPPUNIT_ASSERT(now < back);
      RecordOriginFetches(state, {"y", {}, {}, OriginStatus::kAnswers},
                          now + 50ms);
      const bool cancelled =
          !Step(state, now + 50ms, m_random).m_cancels.empty();
      CPPUNIT_ASSERT_EQUAL(rank == 1, cancelled);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginFetchesTest);

}  // namespace
}  // namespace verbenalead::decide
