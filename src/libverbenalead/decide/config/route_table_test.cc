#include "decide/config/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "decide/rollout/declared_versions.h"

namespace verbenalead::decide {
namespace {

model::Route MakeRoute(const std::string& host, const std::string& prefix) {
  model::Route route;
  route.m_name = host + prefix;
  route.m_host = host;
  route.m_path_prefix = prefix;
  route.m_services = {{"a", 3}, {"b", 1}};
  return route;
}

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(LongestPrefixWins);
  CPPUNIT_TEST(FindsOrganisationByKey);
  CPPUNIT_TEST(ServicesAreSelectedByWeight);
  CPPUNIT_TEST(WeightsBindAtDeclaredTime);
  CPPUNIT_TEST(RanksAreThoseOfTheService);
  CPPUNIT_TEST(RouteDecidesAmongOrganisationsOfOneRank);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongestPrefixWins() {
    model::RoutingConfig config;
    config.m_routes = {MakeRoute("h", "/a/"), MakeRoute("h", "/a/b/"),
                       MakeRoute("other", "/")};
    const RouteTable table(config);
    CPPUNIT_ASSERT_EQUAL(std::string("h/a/b/"),
                         table.FindRoute("h", "/a/b/c")->m_name);
    CPPUNIT_ASSERT_EQUAL(std::string("h/a/"),
                         table.FindRoute("h", "/a/bc")->m_name);
    CPPUNIT_ASSERT(!table.FindRoute("h", "/x"));
    CPPUNIT_ASSERT(!table.FindRoute("unknown", "/a/"));
  }

  void FindsOrganisationByKey() {
    model::RoutingConfig config;
    config.m_organisations = {{"acme", {"k1", "k2"}, std::nullopt}};
    const RouteTable table(config);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"),
                         table.FindOrganisation("k2")->m_name);
    CPPUNIT_ASSERT(!table.FindOrganisation("k3"));
    CPPUNIT_ASSERT(!table.FindOrganisation(""));
  }

  // Guards against ranks that are sent where all calls have the same, and ranks
  // of organisations that are left out.
  void RanksAreThoseOfTheService() {
    model::RoutingConfig config;
    config.m_routes = {MakeRoute("h", "/a/"), MakeRoute("h", "/b/")};
    config.m_routes[1].m_services = {{"b", 1}};
    config.m_routes[1].m_urgency = 2;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, RouteTable(config).CountRanks("a"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, RouteTable(config).CountRanks("b"));
    const model::Route& first = config.m_routes[0];
    const model::Route& second = config.m_routes[1];
    CPPUNIT_ASSERT(!RouteTable(config).RankOf("a", first, nullptr));
    CPPUNIT_ASSERT_EQUAL(0, *RouteTable(config).RankOf("b", first, nullptr));
    CPPUNIT_ASSERT_EQUAL(1, *RouteTable(config).RankOf("b", second, nullptr));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, RouteTable(config).CountRanks("none"));
  }

  // Guards against routes whose ranks decide nothing, because organisations
  // have ranks too.
  void RouteDecidesAmongOrganisationsOfOneRank() {
    model::RoutingConfig config;
    config.m_routes = {MakeRoute("h", "/a/"), MakeRoute("h", "/b/")};
    config.m_routes[0].m_services = config.m_routes[1].m_services = {{"b", 1}};
    config.m_routes[0].m_urgency = 2;
    config.m_organisations = {{"acme", {"k1"}, 1}, {"first", {"k2"}, 0}};
    const RouteTable table(config);
    const auto rank = [&](size_t route, size_t organisation) {
      return *table.RankOf("b", config.m_routes[route],
                           &config.m_organisations[organisation]);
    };
    CPPUNIT_ASSERT_EQUAL(0, rank(1, 1));
    CPPUNIT_ASSERT_EQUAL(1, rank(0, 1));
    CPPUNIT_ASSERT_EQUAL(2, rank(1, 0));
    CPPUNIT_ASSERT_EQUAL(3, rank(0, 0));
  }

  void ServicesAreSelectedByWeight() {
    std::mt19937_64 random(1);
    const model::Route route = MakeRoute("h", "/");
    int selected = 0;
    for (int i = 0; i < 4000; ++i)
      selected += SelectService(route, random) == "a" ? 1 : 0;
    CPPUNIT_ASSERT(selected > 2850 && selected < 3150);
  }

  void WeightsBindAtDeclaredTime() {
    const TimePoint start = TimePoint() + 3600s;
    DeclaredVersions versions;
    Declare(versions, 2, {8s, false}, start + 8s);
    Declare(versions, 3, {10s, false}, start + 10s);
    // A later declaration is ignored.
    Declare(versions, 3, {99s, false}, start + 99s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, Binding(versions, start + 7s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Binding(versions, start + 8s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, Binding(versions, start + 10s));
    CPPUNIT_ASSERT(ForbiddenFrom(versions, 1) == start + 8s);
    CPPUNIT_ASSERT(ForbiddenFrom(versions, 2) == start + 10s);
    CPPUNIT_ASSERT(ForbiddenFrom(versions, 3) == TimePoint::max());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace
}  // namespace verbenalead::decide
