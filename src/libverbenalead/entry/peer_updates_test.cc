#include "entry/peer_updates.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "base/boot_clock.h"

namespace verbenalead::entry {
namespace {

EntryOptions OptionsOf(const std::string& host) {
  EntryOptions options;
  options.m_own_address = {host, "a", Endpoint("127.0.0.1", 1),
                           Endpoint("127.0.0.1", 2)};
  options.m_key_bound = 5s;
  return options;
}

/// An entry that the store has just answered.
std::unique_ptr<EntryState> Entry(const std::string& host) {
  auto state = std::make_unique<EntryState>(OptionsOf(host));
  state->m_routes =
      std::make_shared<decide::RouteTable>(model::RoutingConfig());
  state->m_replicas_known = true;
  state->m_replicas_confirmed_at = Now();
  state->m_operator_revision.m_number = 5;
  // The local clock and the store's clock are the same here.
  state->m_store_clock.m_offset = Duration();
  state->m_operator_confirmed_at = {0, BootNow()};
  decide::RenewLease(state->m_lease, BootNow());
  return state;
}

class PeerUpdatesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerUpdatesTest);
  CPPUNIT_TEST(StopsUsingAReaderThatLostTheStore);
  CPPUNIT_TEST(FetchesFromAnyEntryWithTheNewestRows);
  CPPUNIT_TEST(FetchesReplicasFromAnyEntryThatHasThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls to a replica that left 2.3 s ago: the store rejected
  // the requests of the entry that reads for its data centre, and the others
  // waited until its last proof was too old. Its update now carries no proof,
  // so the others stop relying on it at once.
  void StopsUsingAReaderThatLostTheStore() {
    const auto reader = Entry("e1");
    const auto other = Entry("e2");
    ApplyUpdate(*other, MakeEntryUpdate(*reader), Now());
    CPPUNIT_ASSERT(FindStoreReader(*other, Now()));
    reader->m_store_unavailable = true;
    ApplyUpdate(*other, MakeEntryUpdate(*reader), Now());
    CPPUNIT_ASSERT(!FindStoreReader(*other, Now()));
    reader->m_store_unavailable = false;
    ApplyUpdate(*other, MakeEntryUpdate(*reader), Now());
    CPPUNIT_ASSERT(FindStoreReader(*other, Now()));
  }

  // Guards against a configuration of 390 KB reaching a data centre a second
  // late: 14 entries all fetched it from the one that had read it. Each must
  // choose at random among the entries that have it.
  void FetchesFromAnyEntryWithTheNewestRows() {
    const auto newcomer = Entry("e0");
    newcomer->m_operator_revision.m_number = 0;
    for (const char* host : {"e1", "e2", "e3"}) {
      const auto entry = Entry(host);
      entry->m_operator_revision.m_number = host == std::string("e3") ? 4 : 5;
      ApplyUpdate(*newcomer, MakeEntryUpdate(*entry), Now());
    }
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i)
      chosen.insert(PickNewerPeer(*newcomer, Now())->m_address.m_host);
    CPPUNIT_ASSERT(chosen == std::set<std::string>({"e1", "e2"}));
    newcomer->m_operator_revision.m_number = 5;
    CPPUNIT_ASSERT(!PickNewerPeer(*newcomer, Now()));
  }

  // Guards against calls being refused for seconds after all processes start at
  // once: all entries of a data centre fetched 1 MB of replicas from the one
  // that had read them.
  void FetchesReplicasFromAnyEntryThatHasThem() {
    const auto newcomer = Entry("e0");
    for (const char* host : {"e1", "e2", "e3"}) {
      const auto entry = Entry(host);
      entry->m_replicas_hash = host == std::string("e3") ? 4 : 5;
      ApplyUpdate(*newcomer, MakeEntryUpdate(*entry), Now());
    }
    const PeerEntry reader = newcomer->m_peers.at("e1");
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i)
      chosen.insert(
          PickReplicaListPeer(*newcomer, reader, Now()).m_address.m_host);
    CPPUNIT_ASSERT(chosen == std::set<std::string>({"e1", "e2"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerUpdatesTest);

}  // namespace
}  // namespace verbenalead::entry
