#include "entry/slot_allocator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace verbenalead::entry {
namespace {

constexpr uint32_t kSlots = 4;

class SlotAllocatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotAllocatorTest);
  CPPUNIT_TEST(WaitingCallGetsTheSlotGrantedByATarget);
  CPPUNIT_TEST(UnneededGrantIsReturned);
  CPPUNIT_TEST(WaitEndsAtTheDeadlineWithoutAGrant);
  CPPUNIT_TEST(WaitingCallMovesAwayFromALeavingReplica);
  CPPUNIT_TEST(GrantOfALeavingReplicaIsNotUsed);
  CPPUNIT_TEST(WaitEndsAtOnceIfTheLastReplicaLeaves);
  CPPUNIT_TEST(WaitingCallMovesAwayFromAReplicaAtRest);
  CPPUNIT_TEST(WaitEndsAtOnceIfTheLastReplicaRestsForLonger);
  CPPUNIT_TEST(WaitingCallMovesAwayFromAnEvacuatedDataCentre);
  CPPUNIT_TEST(RankedCallIsRefusedOnceAllTargetsDenyIt);
  CPPUNIT_TEST(RankedCallMovesAwayFromALoadingReplica);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EntryOptions options;
    options.m_own_address.m_data_center = "a";
    options.m_target_datagram_port = 9;
    m_state = std::make_unique<EntryState>(options);
    m_io = std::make_unique<boost::asio::io_context>();
    m_datagrams = std::make_unique<links::DatagramSocket>(
        m_io->get_executor(), Endpoint("127.0.0.1", 0));
    m_slot_requester = std::make_unique<SlotRequester>(*m_state, *m_datagrams);
    m_told.clear();
    m_slot_allocator = std::make_unique<SlotAllocator>(
        *m_state, *m_slot_requester,
        [this](const decide::ReplicaState& replica) {
          m_told.push_back(replica.m_replica.m_id);
        });
    decide::ReplicaPool& pool = GetOrCreateService(*m_state, "pool").m_pool;
    pool.m_prefill_rate = 1000;
    model::Replica replica;
    replica.m_id = "i-1";
    replica.m_endpoint = Endpoint("127.0.0.1", 8);
    replica.m_data_center = "a";
    replica.m_slots = kSlots;
    replica.m_weights["m"] = 1;
    decide::SetReplicas(pool, {replica}, TimePoint(), Now());
    pool.m_replicas.at("i-1").m_other_entries_calls = kSlots;
  }

  // Guards against refusing an on-time call although a slot came free at a
  // target, because this entry doesn't know of it yet. The target grants the
  // slot to the call queued there, which starts without another request.
  void WaitingCallGetsTheSlotGrantedByATarget() {
    Take(10s);
    CPPUNIT_ASSERT(!m_done);
    m_slot_requester->HandleAnswer(Answer(1, false));
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
    m_slot_requester->HandleAnswer(Answer(1, true));
    m_io->poll();
    CPPUNIT_ASSERT(m_done);
    CPPUNIT_ASSERT(m_slot == std::string("i-1"));
    CPPUNIT_ASSERT_EQUAL(1U, Replica().m_in_flight);
    CPPUNIT_ASSERT(
        GetOrCreateService(*m_state, "pool").m_pool.m_waiting.empty());
  }

  // Guards against a slot that stays unused for a second, because it was
  // granted to a call that has ended. This entry must at once send the target
  // the calls that it really has there.
  void UnneededGrantIsReturned() {
    Take(10s);
    m_slot_allocator->Cancel(kTicket);
    m_io->poll();
    m_slot_requester->HandleAnswer(Answer(1, true));
    m_io->poll();
    CPPUNIT_ASSERT(m_done && !m_slot);
    CPPUNIT_ASSERT_EQUAL(0U, Replica().m_in_flight);
    CPPUNIT_ASSERT(m_told == std::vector<std::string>({"i-1"}));
  }

  void WaitEndsAtTheDeadlineWithoutAGrant() {
    Take(1ms);
    m_io->run();
    CPPUNIT_ASSERT(m_done && !m_slot);
    // A late grant is ignored, as no call waits any more.
    m_slot_requester->HandleAnswer(Answer(1, true));
    CPPUNIT_ASSERT_EQUAL(0U, Replica().m_in_flight);
  }

  // Guards against a call that waits where no slot is granted any more, while
  // another replica could take it.
  void WaitingCallMovesAwayFromALeavingReplica() {
    Take(10s);
    AddOther();
    m_slot_requester->HandleAnswer(Answer(1, false));
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(1) == "i-1");
    links::SlotAnswer rejection = Answer(1, false);
    rejection.m_queued = false;
    rejection.m_update.m_statements.m_leaving = 0;
    m_slot_requester->HandleAnswer(rejection);
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(2) == "i-2");
  }

  void GrantOfALeavingReplicaIsNotUsed() {
    AddOther();
    Take(10s);
    decide::NoteLeaving(Pool().m_replicas.at("i-1"));
    for (uint64_t ticket : {1, 2}) {
      if (m_slot_requester->ReplicaOfReservation(ticket) == "i-1")
        m_slot_requester->HandleAnswer(Answer(ticket, true));
    }
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
    CPPUNIT_ASSERT_EQUAL(0U, Replica().m_in_flight);
    CPPUNIT_ASSERT(m_told == std::vector<std::string>({"i-1"}));
  }

  void WaitEndsAtOnceIfTheLastReplicaLeaves() {
    Take(10s);
    decide::NoteLeaving(Pool().m_replicas.at("i-1"));
    m_slot_allocator->WakeAll();
    m_io->poll();
    CPPUNIT_ASSERT(m_done && !m_slot);
  }

  // Its target knows nothing of the rest and keeps the call queued.
  void WaitingCallMovesAwayFromAReplicaAtRest() {
    Take(10s);
    AddOther();
    decide::NoteRest(Pool().m_replicas.at("i-1"), 3s, Now(), m_state->m_random);
    m_slot_allocator->WakeAll();
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(1).empty());
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(2) == "i-2");
  }

  // Guards against a call that waits at the target of an evacuated data centre
  // until its time is over, and against a grant from there that is used.
  void WaitingCallMovesAwayFromAnEvacuatedDataCentre() {
    Take(10s);
    AddOther();
    Pool().m_replicas.at("i-2").m_replica.m_data_center = "b";
    Pool().m_evacuated_data_centers = {"a"};
    m_slot_allocator->WakeAll();
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(1).empty());
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(2) == "i-2");
    m_slot_requester->HandleAnswer(Answer(1, true));
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
    Pool().m_evacuated_data_centers = {"a", "b"};
    m_slot_allocator->WakeAll();
    m_io->poll();
    CPPUNIT_ASSERT(m_done && !m_slot);
    CPPUNIT_ASSERT_EQUAL(0U, Replica().m_in_flight);
  }

  void WaitEndsAtOnceIfTheLastReplicaRestsForLonger() {
    Take(2s);
    decide::NoteRest(Pool().m_replicas.at("i-1"), 1s, Now(), m_state->m_random);
    m_slot_allocator->WakeAll();
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
    decide::NoteRest(Pool().m_replicas.at("i-1"), 3s, Now(), m_state->m_random);
    m_slot_allocator->WakeAll();
    m_io->poll();
    CPPUNIT_ASSERT(m_done && !m_slot);
  }

  // Guards against a call that goes on waiting although no target has queued
  // it. Calls of services without ranks wait on, as slots may come free here.
  void RankedCallIsRefusedOnceAllTargetsDenyIt() {
    AddOther();
    Take(10s, 1);
    HandleDenial(1);
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
    HandleDenial(2);
    m_io->poll();
    CPPUNIT_ASSERT(m_done && !m_slot);
    m_done = false;
    Take(10s);
    HandleDenial(3);
    HandleDenial(4);
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
  }

  // Guards against a refusal because one replica loads weights.
  void RankedCallMovesAwayFromALoadingReplica() {
    Take(10s, 1);
    AddOther();
    links::SlotAnswer denial = Answer(1, false);
    denial.m_queued = false;
    denial.m_update.m_loading = true;
    m_slot_requester->HandleAnswer(denial);
    m_io->poll();
    CPPUNIT_ASSERT(!m_done);
    CPPUNIT_ASSERT(m_slot_requester->ReplicaOfReservation(2) == "i-2");
  }

 private:
  void HandleDenial(uint64_t ticket) {
    links::SlotAnswer denial = Answer(ticket, false);
    denial.m_queued = false;
    denial.m_update.m_replica = m_slot_requester->ReplicaOfReservation(ticket);
    m_slot_requester->HandleAnswer(denial);
  }

  static constexpr uint64_t kTicket = 77;

  decide::ReplicaPool& Pool() {
    return GetOrCreateService(*m_state, "pool").m_pool;
  }

  /// Adds a second replica, which is full as well.
  void AddOther() {
    model::Replica other = Replica().m_replica;
    other.m_id = "i-2";
    decide::SetReplicas(Pool(), {Replica().m_replica, other}, TimePoint(),
                        Now());
    Pool().m_replicas.at("i-2").m_other_entries_calls = kSlots;
  }

  Awaitable<void> AcquireOneSlot(Duration wait, std::optional<int> rank) {
    decide::PoolCall call;
    call.m_ticket = kTicket;
    call.m_prompt_tokens = 10;
    call.m_read_deadline = Now() + 10s;
    call.m_rank = rank;
    m_slot = co_await m_slot_allocator->Acquire("pool", call, Now() + wait);
    m_done = true;
  }

  void Take(Duration wait, std::optional<int> rank = std::nullopt) {
    boost::asio::co_spawn(*m_io, AcquireOneSlot(wait, rank),
                          boost::asio::detached);
    m_io->poll();
  }

  const decide::ReplicaState& Replica() {
    return GetOrCreateService(*m_state, "pool").m_pool.m_replicas.at("i-1");
  }

  /// The target's answer to the first reservation (queued), or the later grant.
  static links::SlotAnswer Answer(uint64_t ticket, bool granted) {
    links::SlotAnswer answer;
    answer.m_ticket = ticket;
    answer.m_granted = granted;
    answer.m_queued = !granted;
    answer.m_update.m_replica = "i-1";
    answer.m_update.m_service = "pool";
    answer.m_update.m_version = 1;
    answer.m_update.m_other_entries_calls.m_calls = kSlots;
    return answer;
  }

  std::unique_ptr<EntryState> m_state;
  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<links::DatagramSocket> m_datagrams;
  std::unique_ptr<SlotRequester> m_slot_requester;
  std::unique_ptr<SlotAllocator> m_slot_allocator;
  std::vector<std::string> m_told;
  std::optional<std::string> m_slot;
  bool m_done = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotAllocatorTest);

}  // namespace
}  // namespace verbenalead::entry
