#include "entry/caller_addresses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "base/boot_clock.h"
#include "entry/peer_updates.h"

namespace verbenalead::entry {
namespace {

constexpr size_t kMost = 64;

model::EntryAddress Address(size_t number) {
  const std::string name = std::to_string(1000 + number);
  return {"e" + name, "a", Endpoint("127.0.0." + name, 1),
          Endpoint("127.0.0." + name, 2)};
}

EntryOptions Options(size_t number) {
  EntryOptions options;
  options.m_own_address = Address(number);
  options.m_key_bound = 5s;
  options.m_regions = {{"a", "east"}, {"b", "west"}, {"c", "north"}};
  return options;
}

/// An entry that is ready.
std::unique_ptr<EntryState> Ready(size_t number) {
  auto state = std::make_unique<EntryState>(Options(number));
  state->m_routes =
      std::make_shared<decide::RouteTable>(model::RoutingConfig());
  state->m_replicas_known = true;
  state->m_operator_revision.m_number = 5;
  state->m_replicas_hash = 7;
  decide::RenewLease(state->m_lease, BootNow());
  return state;
}

/// Makes `count` entries of the same data centre, from number `first` on, known
/// to `state` as ready or as not ready.
void SetPeers(EntryState& state, size_t first, size_t count, bool ready) {
  for (size_t number = first; number < first + count; ++number) {
    PeerEntry& peer = state.m_peers[Address(number).m_host];
    peer.m_address = Address(number);
    peer.m_last_seen_at = Now();
    peer.m_ready = ready;
    peer.m_operator_revision.m_number = ready ? 5 : 0;
    peer.m_replicas_hash = ready ? 7 : 0;
  }
}

size_t CountListed(const EntryState& state) {
  return EntriesForCallers(state, {"", "a", ""}, kMost, Now()).size();
}

class CallerAddressesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerAddressesTest);
  CPPUNIT_TEST(DoesNotListStoppingEntries);
  CPPUNIT_TEST(ManyEntriesShareTheCallers);
  CPPUNIT_TEST(CallersStayInTheRegionsOfTheirHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers being sent to entries that are about to exit:
  // stopping entries are not ready, and must not be listed while two others
  // are.
  void DoesNotListStoppingEntries() {
    const auto first = Ready(0);
    SetPeers(*first, 1, 1, true);
    SetPeers(*first, 2, 18, true);
    for (size_t number = 2; number < 20; ++number)
      first->m_peers.at(Address(number).m_host).m_ready = false;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, CountListed(*first));
  }

  // Guards against entries without callers: if a data centre has more entries
  // than one response lists and all responses list the same ones, the last by
  // name get no callers.
  void ManyEntriesShareTheCallers() {
    constexpr size_t kEntries = 105;
    std::map<std::string, size_t> listings;
    for (size_t number = 0; number < kEntries; ++number) {
      const auto entry = Ready(number);
      SetPeers(*entry, 0, number, true);
      SetPeers(*entry, number + 1, kEntries - number - 1, true);
      for (const Endpoint& endpoint :
           EntriesForCallers(*entry, {"", "a", ""}, kMost, Now()))
        ++listings[ToString(endpoint)];
    }
    CPPUNIT_ASSERT_EQUAL(kEntries, listings.size());
    for (const auto& [address, times] : listings)
      CPPUNIT_ASSERT_EQUAL(kMost, times);
  }

  // Guards against calls whose body leaves the regions in which they may be
  // served because their callers' own data centre has too few entries.
  void CallersStayInTheRegionsOfTheirHost() {
    const auto entry = Ready(0);
    SetPeers(*entry, 1, 4, true);
    for (size_t number : {1, 2})
      entry->m_peers.at(Address(number).m_host).m_address.m_data_center = "b";
    for (size_t number : {3, 4})
      entry->m_peers.at(Address(number).m_host).m_address.m_data_center = "c";
    const auto count = [&](const std::string& host,
                           const std::string& data_center,
                           const std::string& region) {
      return EntriesForCallers(*entry, {host, data_center, region}, kMost,
                               Now())
          .size();
    };
    model::RoutingConfig config;
    config.m_routes.resize(2);
    config.m_routes[0].m_host = "west-only";
    config.m_routes[0].m_regions = {"west"};
    config.m_routes[1].m_host = "any";
    entry->m_routes = std::make_shared<decide::RouteTable>(config);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, count("any", "a", "east"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, count("west-only", "a", "east"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, count("west-only", "a", ""));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, count("west-only", "d", "south"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, count("west-only", "c", "north"));
    for (size_t number : {1, 2})
      entry->m_peers.at(Address(number).m_host).m_ready = false;
    // There are no others.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, count("west-only", "d", "south"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerAddressesTest);

}  // namespace
}  // namespace verbenalead::entry
