#include "wire/request_target.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "wire/request.h"

namespace verbenalead::wire {
namespace {

class RequestTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTargetTest);
  CPPUNIT_TEST(PlainNamesStayAsTheyAre);
  CPPUNIT_TEST(AnyFieldIsReadAsItWasWritten);
  CPPUNIT_TEST(AnySegmentIsReadAsItWasWritten);
  CPPUNIT_TEST(MalformedEscapesHaveNoName);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlainNamesStayAsTheyAre() {
    CPPUNIT_ASSERT_EQUAL(std::string("/piece/daka51-0.0_0~?num=5&version=2"),
                         RequestTarget("/piece")
                             .Segment("daka51-0.0_0~")
                             .Field("num", 5)
                             .Field("version", 2)
                             .Build());
  }

  // Guards against a server that reads another name than the one that was sent.
  void AnyFieldIsReadAsItWasWritten() {
    CPPUNIT_ASSERT(rc::check([](const std::string& value) {
      Request request;
      request.m_path = RequestTarget("/rows-get")
                           .Field("table", "servers")
                           .Field("from", value)
                           .Field("limit", 3)
                           .Build();
      RC_ASSERT(PathOf(request) == "/rows-get");
      RC_ASSERT(QueryValue(request, "table") == "servers");
      RC_ASSERT(QueryValue(request, "from") == value);
      RC_ASSERT(QueryValue(request, "limit") == "3");
    }));
  }

  // Guards against a name whose '/', '?' or '#' ends it.
  void AnySegmentIsReadAsItWasWritten() {
    CPPUNIT_ASSERT(rc::check([](const std::string& name) {
      RC_PRE(!name.empty());
      Request request;
      request.m_path = RequestTarget("/v1/x")
                           .Segment(name)
                           .Segment(7)
                           .Field("a", "b")
                           .Build();
      const std::vector<std::string> expected = {name, "7"};
      RC_ASSERT(SegmentsAfter(PathOf(request), "/v1/x/") == expected);
      const std::string alone = RequestTarget("/v1/x").Segment(name).Build();
      RC_ASSERT(NameAfter(alone, "/v1/x/") == name);
    }));
  }

  void MalformedEscapesHaveNoName() {
    CPPUNIT_ASSERT(SegmentsAfter("/v1/x/a%2", "/v1/x/").empty());
    CPPUNIT_ASSERT(SegmentsAfter("/other/a", "/v1/x/").empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), NameAfter("/v1/x/%zz", "/v1/x/"));
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), NameAfter("/v1/x/a/b", "/v1/x/"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTargetTest);

}  // namespace
}  // namespace verbenalead::wire
