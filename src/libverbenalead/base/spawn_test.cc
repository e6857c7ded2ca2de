#include "base/spawn.h"

#include <cppunit/extensions/HelperMacros.h>
#include <boost/asio/io_context.hpp>
#include <stdexcept>

namespace verbenalead {
namespace {

Awaitable<void> Throw() {
  throw std::runtime_error("bad message");
  co_return;
}

Awaitable<void> SetDone(bool& done) {
  done = true;
  co_return;
}

class SpawnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpawnTest);
  CPPUNIT_TEST(OneFailedTaskDoesNotStopOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one caller's message ending the work for all others: the
  // handler of that message throws.
  void OneFailedTaskDoesNotStopOthers() {
    boost::asio::io_context context;
    bool done = false;
    Spawn(context.get_executor(), Throw(), "throw");
    Spawn(context.get_executor(), SetDone(done), "note");
    context.run();
    CPPUNIT_ASSERT(done);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpawnTest);

}  // namespace
}  // namespace verbenalead
