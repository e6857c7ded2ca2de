#include "decide/transfer/digest_read_order.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace verbenalead::decide {
namespace {

std::vector<std::string> Hosts(size_t count) {
  std::vector<std::string> hosts;
  for (size_t i = 0; i < count; ++i)
    hosts.push_back("host-" + std::to_string(i));
  return hosts;
}

class DigestReadOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DigestReadOrderTest);
  CPPUNIT_TEST(AllHostsAgreeOnTheOrder);
  CPPUNIT_TEST(FewHostsReadFromAReturnedOrigin);
  CPPUNIT_TEST(FirstReadersDoNotAskEachOtherFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllHostsAgreeOnTheOrder() {
    std::vector<std::string> reversed = Hosts(20);
    std::reverse(reversed.begin(), reversed.end());
    CPPUNIT_ASSERT(DigestReadOrder(Hosts(20), 3) ==
                   DigestReadOrder(reversed, 3));
    std::set<std::string> first;
    for (uint64_t version = 0; version < 40; ++version)
      first.insert(DigestReadOrder(Hosts(20), version).front());
    // Different versions have different first hosts.
    CPPUNIT_ASSERT(first.size() > 10);
  }

  // Guards against first chunks of new weights that arrive one second late: the
  // origin was unreachable for 6 s, and all hosts request the digests when it
  // returns.
  void FewHostsReadFromAReturnedOrigin() {
    size_t readers = 0;
    for (size_t position = 0; position < 300; ++position)
      readers += DigestReadDelay(position) <= Duration(6s);
    CPPUNIT_ASSERT(readers > kDigestReaders);
    CPPUNIT_ASSERT(readers <= 20);
    CPPUNIT_ASSERT(DigestReadDelay(kDigestReaders - 1) == Duration());
    CPPUNIT_ASSERT(DigestReadDelay(kDigestReaders) == Duration(1s));
  }

  // Guards against digests that no host has when the origin becomes
  // unavailable soon after a declaration: the hosts that are to read them at
  // once asked each other first, over busy links.
  void FirstReadersDoNotAskEachOtherFirst() {
    using enum DigestSource;
    const std::vector<DigestSource> origin_first = {kOrigin, kHosts};
    const std::vector<DigestSource> hosts_first = {kHosts, kOrigin};
    const std::vector<DigestSource> hosts = {kHosts};
    CPPUNIT_ASSERT(DigestSources(0, 0s, true) == origin_first);
    CPPUNIT_ASSERT(DigestSources(kDigestReaders - 1, 0s, true) == origin_first);
    CPPUNIT_ASSERT(DigestSources(kDigestReaders, 0s, true) == hosts);
    CPPUNIT_ASSERT(DigestSources(kDigestReaders, 1s, true) == hosts_first);
    CPPUNIT_ASSERT(DigestSources(0, 0s, false) == hosts_first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestReadOrderTest);

}  // namespace
}  // namespace verbenalead::decide
