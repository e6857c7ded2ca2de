#include "decide/transfer/transfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "decide/transfer/transfer_fixture.h"
#include "decide/transfer/upload_queue.h"

namespace verbenalead::decide {
namespace {

class TransferTest : public TransferFixture {
  CPPUNIT_TEST_SUITE(TransferTest);
  CPPUNIT_TEST(OriginFetchesAreSharedOut);
  CPPUNIT_TEST(OriginFetchesKeepTheInterval);
  CPPUNIT_TEST(NextRankTakesOverALostOriginFetch);
  CPPUNIT_TEST(LateHostsKeepToTheSchedule);
  CPPUNIT_TEST(NextRanksFollowTheFetchingHost);
  CPPUNIT_TEST(RarestChunkGoesFirst);
  CPPUNIT_TEST(OneHostImportsAChunkIntoItsRegion);
  CPPUNIT_TEST(OnlyHostOfItsRegionUsesAllFetches);
  CPPUNIT_TEST(BadChunkIsNotRequestedAgainFromItsSource);
  CPPUNIT_TEST(StalledFetchIsCancelled);
  CPPUNIT_TEST(FailingOriginIsBackedOffFrom);
  CPPUNIT_TEST(SpareOriginFetchesNeedTimeFirst);
  CPPUNIT_TEST(LeastSentChunkIsUploadedFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OriginFetchesAreSharedOut() {
    m_limits.m_max_own_origin_fetches = 100;
    const std::vector<TransferMember> members = {kSelf, kSameDataCenter,
                                                 kSameRegion, kOtherRegion};
    std::vector<uint32_t> all;
    for (const TransferMember& self : members) {
      TransferState state = Start(self, members, 40);
      const auto own = OriginFetches(state, kStart);
      all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end());
    CPPUNIT_ASSERT_EQUAL(size_t{40}, all.size());
    for (uint32_t i = 0; i < all.size(); ++i)
      CPPUNIT_ASSERT_EQUAL(i, all[i]);
  }

  void OriginFetchesKeepTheInterval() {
    m_limits.m_origin_interval = 100ms;
    TransferState state = Start(kSelf, {kSelf}, 3);
    CPPUNIT_ASSERT(OriginFetches(state, kStart) == std::vector<uint32_t>{0});
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 99ms).empty());
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 100ms) ==
                   std::vector<uint32_t>{1});
  }

  // Guards against a chunk that all hosts lack for ever: the host that has to
  // fetch it from the origin dies before it does, and the others cannot detect
  // that. After the take-over delay the host of the next rank fetches it, and
  // no other host does.
  void NextRankTakesOverALostOriginFetch() {
    const std::vector<TransferMember> members = {kSelf, kSameDataCenter,
                                                 kSameRegion};
    const TimePoint late = kStart + m_limits.m_takeover_delay;
    size_t at_once = 0;
    size_t later = 0;
    for (const TransferMember& self : members) {
      TransferState state = Start(self, members, 1);
      const bool fetched = !OriginFetches(state, kStart).empty();
      at_once += fetched;
      if (!fetched)
        later += OriginFetches(state, late).size();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, at_once);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, later);
  }

  // Guards against new weights that leave the origin only after the last host
  // has learned of them, so that the origin has the only copy if it fails
  // meanwhile: each host scheduled its origin fetches from when it learned of
  // the version. Hosts that learn late are due at once with the chunks that are
  // scheduled up to then.
  void LateHostsKeepToTheSchedule() {
    m_limits.m_origin_interval = 100ms;
    m_limits.m_max_own_origin_fetches = 10;
    const TimePoint late = kStart + 250ms;
    TransferState state = StartTransfer(kSelf, 5, m_limits, late, kStart);
    SetMembers(state, {kSelf}, late, m_random);
    CPPUNIT_ASSERT(OriginFetches(state, late) ==
                   std::vector<uint32_t>({0, 1, 2}));
    CPPUNIT_ASSERT(OriginFetches(state, kStart + 300ms) ==
                   std::vector<uint32_t>{3});
  }

  // Guards against an origin's link that carries chunks twice: the host of the
  // next rank has not yet received the update that another host has fetched a
  // chunk. It has to follow that host itself.
  void NextRanksFollowTheFetchingHost() {
    std::vector<TransferMember> members;
    for (int host = 0; host < 100; ++host) {
      const std::string center = std::to_string(host % 5);
      members.push_back({"host-" + std::to_string(host), center, center});
    }
    constexpr uint32_t kChunks = 48;
    std::vector<std::string> fetchers(kChunks);
    std::vector<TransferState> states;
    for (const TransferMember& self : members) {
      states.push_back(Start(self, members, kChunks));
      for (uint32_t chunk = 0; chunk < kChunks; ++chunk) {
        if (states.back().m_chunks[chunk].m_rank == 0)
          fetchers[chunk] = self.m_name;
      }
    }
    for (const TransferState& state : states) {
      for (uint32_t chunk = 0; chunk < kChunks; ++chunk) {
        const uint16_t rank = state.m_chunks[chunk].m_rank;
        CPPUNIT_ASSERT(rank == 0 || rank > 2 ||
                       Follows(state, fetchers[chunk]));
      }
    }
  }

  void RarestChunkGoesFirst() {
    m_limits.m_max_fetches = 1;
    m_limits.m_max_own_origin_fetches = 0;
    TransferState state =
        Start(kSelf, {kSelf, kSameDataCenter, kSameRegion}, 3);
    RecordNeighbourChunks(state, "b", {0, 1, 2}, kStart);
    RecordNeighbourChunks(state, "c", {0, 2}, kStart);
    const auto fetches = Step(state, kStart, m_random).m_fetches;
    CPPUNIT_ASSERT(fetches == std::vector<FetchChunk>({{1, ChunkSource{"b"}}}));
  }

  void OneHostImportsAChunkIntoItsRegion() {
    const std::vector<TransferMember> members = {kSelf, kSameDataCenter,
                                                 kSameRegion, kOtherRegion};
    m_limits.m_max_own_origin_fetches = 0;
    m_limits.m_max_fetches = 100;
    size_t imports = 0;
    for (const TransferMember& self : {kSelf, kSameDataCenter, kSameRegion}) {
      TransferState state = Start(self, members, 30);
      Step(state, kStart, m_random);
      for (uint32_t chunk = 0; chunk < 30; ++chunk) {
        RecordNeighbourChunks(state, "d", {chunk}, kStart);
        for (const auto& fetch : Step(state, kStart, m_random).m_fetches) {
          ++imports;
          RecordChunkArrival(state, fetch.m_chunk, kStart);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{30}, imports);
  }

  void OnlyHostOfItsRegionUsesAllFetches() {
    m_limits.m_max_own_origin_fetches = 0;
    TransferState state = Start(kSelf, {kSelf, kOtherRegion}, 2);
    RecordNeighbourChunks(state, "d", {0, 1}, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         Step(state, kStart, m_random).m_fetches.size());
  }

  // Guards against a host that sends chunks with wrong bytes, which the digest
  // shows. Such a chunk is not requested from that host again, even when the
  // host reports it again, and after several corrupt chunks the host gets no
  // requests for a while.
  void BadChunkIsNotRequestedAgainFromItsSource() {
    m_limits.m_max_own_origin_fetches = 0;
    TransferState state = Start(kSelf, {kSelf, kSameDataCenter}, 5);
    RecordNeighbourChunks(state, "b", {0, 1, 2, 3, 4}, kStart);
    auto fetches = Step(state, kStart, m_random).m_fetches;
    CPPUNIT_ASSERT_EQUAL(size_t{5}, fetches.size());
    for (uint32_t chunk = 0; chunk < 4; ++chunk)
      RecordChunkFailure(state, chunk, true, kStart, m_random);
    RecordNeighbourChunks(state, "b", {0, 1, 2, 3}, kStart);
    CPPUNIT_ASSERT(Step(state, kStart, m_random).m_fetches.empty());
    CPPUNIT_ASSERT(state.m_neighbours[0].m_fetch_backoff_until > kStart);
  }

  // Guards against a connection that delivers nothing but stays open. After the
  // stall time the fetch is cancelled and the chunk is requested from another
  // host.
  void StalledFetchIsCancelled() {
    m_limits.m_max_own_origin_fetches = 0;
    m_limits.m_max_stall = 2s;
    TransferState state =
        Start(kSelf, {kSelf, kSameDataCenter, kSameRegion}, 1);
    RecordNeighbourChunks(state, "b", {0}, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         Step(state, kStart, m_random).m_fetches.size());
    RecordNeighbourChunks(state, "c", {0}, kStart);
    RecordChunkProgress(state, 0, kStart + 1s);
    CPPUNIT_ASSERT(Step(state, kStart + 3s, m_random).m_cancels.empty());
    const auto actions = Step(state, kStart + 3100ms, m_random);
    CPPUNIT_ASSERT(actions.m_cancels ==
                   std::vector<FetchChunk>({{0, ChunkSource{"b"}}}));
    CPPUNIT_ASSERT(actions.m_fetches ==
                   std::vector<FetchChunk>({{0, ChunkSource{"c"}}}));
  }

  void FailingOriginIsBackedOffFrom() {
    TransferState state = Start(kSelf, {kSelf}, 1);
    TimePoint now = kStart;
    Duration last{};
    for (int attempts = 0; attempts < 5; ++attempts) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, OriginFetches(state, now).size());
      RecordChunkFailure(state, 0, false, now, m_random);
      const Duration wait = state.m_origin_retry_at - now;
      CPPUNIT_ASSERT(wait >= last / 2 && wait >= 100ms);
      CPPUNIT_ASSERT(OriginFetches(state, now + wait - 1ms).empty());
      now += wait;
      last = wait;
    }
    CPPUNIT_ASSERT(last > 1s);
  }

  void SpareOriginFetchesNeedTimeFirst() {
    m_limits.m_origin_budget_percent = 200;
    for (auto preference : {TransferPreference::kTimeFirst,
                            TransferPreference::kOriginBytesFirst}) {
      m_limits.m_preference = preference;
      TransferState state = Start(kSelf, {kSelf, kSameDataCenter}, 4);
      RecordNeighbourChunks(state, "b", {0, 1, 2, 3}, kStart);
      Step(state, kStart, m_random);
      const size_t expected =
          preference == TransferPreference::kTimeFirst ? 2 : 0;
      CPPUNIT_ASSERT_EQUAL(expected,
                           OriginFetches(state, kStart + 500ms).size());
    }
  }

  void LeastSentChunkIsUploadedFirst() {
    UploadQueue queue;
    EnqueueUpload(queue, {1, 0, false, 5});
    EnqueueUpload(queue, {2, 0, false, 3});
    EnqueueUpload(queue, {3, 0, true, 9});
    EnqueueUpload(queue, {4, 1, false, 9});
    EnqueueUpload(queue, {5, 1, false, 9});
    RemoveUpload(queue, 5);
    std::vector<uint64_t> order;
    while (const auto next = DequeueUpload(queue))
      order.push_back(next->m_id);
    CPPUNIT_ASSERT(order == std::vector<uint64_t>({3, 4, 2, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferTest);

}  // namespace
}  // namespace verbenalead::decide
