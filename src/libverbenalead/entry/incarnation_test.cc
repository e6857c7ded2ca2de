#include <cppunit/extensions/HelperMacros.h>

#include "base/boot_clock.h"
#include "entry/peer_updates.h"
#include "entry/statements.h"
#include "entry/summary.h"
#include "links/message.h"

namespace verbenalead::entry {
namespace {

constexpr char kService[] = "pool";
constexpr uint64_t kEarlier = 1000;
constexpr uint64_t kLater = 2000;

model::Replica Replica(uint64_t started_ms) {
  model::Replica replica;
  replica.m_id = "i-1";
  replica.m_started_ms = started_ms;
  replica.m_service = kService;
  replica.m_endpoint = Endpoint("10.0.1.1", 80);
  replica.m_data_center = "a";
  replica.m_slots = 8;
  return replica;
}

/// An entry that knows the incarnation of the replica which began at
/// `started_ms`.
std::unique_ptr<EntryState> Entry(const std::string& host,
                                  const std::string& data_center,
                                  uint64_t started_ms) {
  EntryOptions options;
  options.m_own_address = {host, data_center, Endpoint("10.0.0.1", 80),
                           Endpoint("10.0.0.1", 81)};
  auto state = std::make_unique<EntryState>(options);
  model::RoutingConfig config;
  model::Service service;
  service.m_name = kService;
  service.m_engine = model::EngineProfile();
  config.m_services.push_back(service);
  state->m_routes = std::make_shared<decide::RouteTable>(std::move(config));
  decide::ReplicaPool& pool = GetOrCreateService(*state, kService).m_pool;
  decide::SetColdLimits(pool, {14, 1.5, 5}, Duration(), Now());
  decide::SetReplicas(pool, {Replica(started_ms)}, TimePoint(), Now());
  return state;
}

decide::ReplicaState& At(EntryState& state) {
  return state.m_services.at(kService).m_pool.m_replicas.at("i-1");
}

/// The message as its receiver decodes it.
template <typename T>
T OverTheWire(const T& message) {
  return std::get<T>(
      links::DecodeMessage(links::EncodeMessage(message)).value());
}

/// News of messages that are late or whose senders don't know yet that the
/// replica has restarted under the same id.
class IncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IncarnationTest);
  CPPUNIT_TEST(LateUpdateOfTheTargetChangesNothing);
  CPPUNIT_TEST(SummaryOfAnEntryThatIsBehindChangesNothing);
  CPPUNIT_TEST(StatementsOfTheEarlierIncarnationChangeNothing);
  CPPUNIT_TEST(MessagesWithoutAStartAreApplied);
  CPPUNIT_TEST(MessagesAboutReplicasWithoutAStartKeepTheirBytes);
  CPPUNIT_TEST(CrashesOfTheEarlierIncarnationAreNotThoseOfTheNewOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a restarted replica, empty and without weights, that is
  // taken for one with the weights and calls of the earlier incarnation, or for
  // one that is loading.
  void LateUpdateOfTheTargetChangesNothing() {
    const auto entry = Entry("b1", "b", kLater);
    ApplyUpdate(*entry, OverTheWire(UpdateOf(kEarlier)), Now());
    CheckUntouched(At(*entry));
    ApplyUpdate(*entry, OverTheWire(UpdateOf(kLater)), Now());
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, At(*entry).m_weights);
    CPPUNIT_ASSERT_EQUAL(5U, At(*entry).m_other_entries_calls);
  }

  void SummaryOfAnEntryThatIsBehindChangesNothing() {
    const auto sender = Entry("a1", "a", kEarlier);
    ApplyUpdate(*sender, UpdateOf(kEarlier), Now());
    const auto receiver = Entry("b1", "b", kLater);
    links::DataCenterSummary summary = SummaryOf(*sender, Now());
    summary.m_sequence = 1;
    ApplySummary(*receiver, OverTheWire(summary), Now());
    CheckUntouched(At(*receiver));
  }

  // Guards against a new incarnation that is limited, cold or leaving by what
  // the earlier one stated.
  void StatementsOfTheEarlierIncarnationChangeNothing() {
    const auto sender = Entry("a1", "a", kEarlier);
    // A replica without a target process: entries tell each other.
    sender->m_services.at(kService).m_pool.m_prefill_rate = 0;
    decide::ReplicaState& stated = At(*sender);
    stated.m_known.m_rate_limit = {0, Now(), true};
    stated.m_known.m_cold = decide::ColdByAnswer(5s, Now());
    decide::NoteLeaving(stated);
    const auto receiver = Entry("a2", "a", kLater);
    ApplyUpdate(*receiver, OverTheWire(MakeEntryUpdate(*sender)), Now());
    CheckUntouched(At(*receiver));
    const auto same = Entry("a2", "a", kEarlier);
    ApplyUpdate(*same, OverTheWire(MakeEntryUpdate(*sender)), Now());
    CPPUNIT_ASSERT(At(*same).m_known.m_rate_limit.m_rate);
    CPPUNIT_ASSERT(decide::IsCold(At(*same).m_known.m_cold, Now()));
    CPPUNIT_ASSERT(At(*same).m_known.m_leaving);
  }

  // Guards against an upgrade during which no update is applied.
  void MessagesWithoutAStartAreApplied() {
    const auto entry = Entry("b1", "b", kLater);
    ApplyUpdate(*entry, OverTheWire(UpdateOf(0)), Now());
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, At(*entry).m_weights);
  }

  void MessagesAboutReplicasWithoutAStartKeepTheirBytes() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"kind":"replica","replica":"i-1","service":"pool",)"
                    R"("version":7,"elsewhere":[5,0],"loading":true})"),
        links::EncodeMessage(UpdateOf(0)));
    const auto sender = Entry("a1", "a", 0);
    const std::string text = links::EncodeMessage(SummaryOf(*sender, Now()));
    CPPUNIT_ASSERT(text.find(R"(["i-1",0,0,0,0,0])") != std::string::npos);
  }

  // Guards against a request that is set aside as it was running at both
  // incarnations, and against a crash that blames the new one's calls.
  void CrashesOfTheEarlierIncarnationAreNotThoseOfTheNewOne() {
    const auto entry = Entry("a1", "a", kLater);
    const std::string earlier = "i-1/" + std::to_string(kEarlier);
    const std::string later = "i-1/" + std::to_string(kLater);
    decide::RecordCrash(entry->m_crashes, 5, earlier, Now());
    decide::RemoveCrashesOf(entry->m_crashes, later);
    CPPUNIT_ASSERT(entry->m_crashes.m_crashes.at(5).contains(earlier));
  }

 private:
  static links::ReplicaUpdate UpdateOf(uint64_t started_ms) {
    links::ReplicaUpdate update;
    update.m_replica = "i-1";
    update.m_service = kService;
    update.m_version = 7;
    update.m_loading = true;
    update.m_other_entries_calls.m_calls = 5;
    update.m_statements.m_started_ms = started_ms;
    return update;
  }

  static void CheckUntouched(const decide::ReplicaState& replica) {
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, replica.m_weights);
    CPPUNIT_ASSERT_EQUAL(0U, replica.m_other_entries_calls);
    CPPUNIT_ASSERT(replica.m_loading_until <= Now());
    CPPUNIT_ASSERT(!replica.m_known.m_rate_limit.m_rate);
    CPPUNIT_ASSERT(!decide::IsCold(replica.m_known.m_cold, Now()));
    CPPUNIT_ASSERT(!replica.m_known.m_leaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationTest);

}  // namespace
}  // namespace verbenalead::entry
