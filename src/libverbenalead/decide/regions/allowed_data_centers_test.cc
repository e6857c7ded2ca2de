#include "decide/regions/allowed_data_centers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

const RegionMap kRegions = {{"a", "east"}, {"b", "east"}, {"c", "west"}};

using Names = std::set<std::string>;

model::Route MakeRoute(const std::string& host,
                       std::vector<std::string> regions,
                       bool anonymous = false) {
  model::Route route;
  route.m_host = host;
  route.m_regions = std::move(regions);
  route.m_anonymous = anonymous;
  return route;
}

class AllowedDataCentersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllowedDataCentersTest);
  CPPUNIT_TEST(BothListsBind);
  CPPUNIT_TEST(UnknownRegionAllowsNothing);
  CPPUNIT_TEST(CallersOfAHostGetTheRegionsOfAllItsCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a call in a region that only one of its route and its
  // organisation allows, and against a restriction where neither names any.
  void BothListsBind() {
    CPPUNIT_ASSERT(!AllowedDataCenters({}, {}, kRegions));
    CPPUNIT_ASSERT(*AllowedDataCenters({"east"}, {}, kRegions) ==
                   Names({"a", "b"}));
    CPPUNIT_ASSERT(*AllowedDataCenters({}, {"west"}, kRegions) == Names({"c"}));
    CPPUNIT_ASSERT(*AllowedDataCenters({"east", "west"}, {"west"}, kRegions) ==
                   Names({"c"}));
    CPPUNIT_ASSERT(AllowedDataCenters({"east"}, {"west"}, kRegions)->empty());
  }

  // Guards against a misspelt region that lifts the restriction.
  void UnknownRegionAllowsNothing() {
    CPPUNIT_ASSERT(AllowedDataCenters({"eats"}, {}, kRegions)->empty());
    CPPUNIT_ASSERT(*AllowedDataCenters({"eats", "west"}, {}, kRegions) ==
                   Names({"c"}));
    model::RoutingConfig config;
    config.m_routes = {MakeRoute("h", {"eats", "west"})};
    config.m_organisations.emplace_back().m_regions = {"north"};
    CPPUNIT_ASSERT(UnknownRegions(config, kRegions) ==
                   Names({"eats", "north"}));
  }

  // Guards against callers who are sent to a region that one of their routes,
  // or their organisation, forbids.
  void CallersOfAHostGetTheRegionsOfAllItsCalls() {
    model::RoutingConfig config;
    config.m_routes = {MakeRoute("h", {"east", "west"}), MakeRoute("h", {}),
                       MakeRoute("free", {}), MakeRoute("open", {}, true)};
    CPPUNIT_ASSERT(RegionsForCallers(RouteTable(config), "h") ==
                   Names({"east", "west"}));
    CPPUNIT_ASSERT(!RegionsForCallers(RouteTable(config), "free"));
    config.m_organisations.emplace_back().m_regions = {"west"};
    const RouteTable routes(config);
    CPPUNIT_ASSERT(RegionsForCallers(routes, "h") == Names({"west"}));
    CPPUNIT_ASSERT(RegionsForCallers(routes, "free") == Names({"west"}));
    CPPUNIT_ASSERT(!RegionsForCallers(routes, "open"));
    CPPUNIT_ASSERT(!RegionsForCallers(routes, "none"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowedDataCentersTest);

}  // namespace
}  // namespace verbenalead::decide
