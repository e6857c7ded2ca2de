#include "decide/transfer/staging_area.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

class StagingAreaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StagingAreaTest);
  CPPUNIT_TEST(LoadedVersionIsOverwritten);
  CPPUNIT_TEST(VersionAwaitingLoadIsKept);
  CPPUNIT_TEST(SmallPartOfVersionIsOverwritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LoadedVersionIsOverwritten() {
    CPPUNIT_ASSERT(MayOverwriteStaged({1, 1}, {2, 0}, 1));
    CPPUNIT_ASSERT(MayOverwriteStaged({0, 0}, {1, 0}, 0));
  }

  // Guards against callers finding no replica: version 2 is complete and waits
  // to be loaded, the first chunks of version 3 overwrite it, and then the
  // origin becomes unavailable. Only a complete version may overwrite it.
  void VersionAwaitingLoadIsKept() {
    CPPUNIT_ASSERT(!MayOverwriteStaged({2, 1}, {3, 0.9}, 1));
    CPPUNIT_ASSERT(!MayOverwriteStaged({2, 0.5}, {3, 0.9}, 1));
    CPPUNIT_ASSERT(MayOverwriteStaged({2, 1}, {3, 1}, 1));
    CPPUNIT_ASSERT(MayOverwriteStaged({2, 1}, {2, 1}, 1));
  }

  void SmallPartOfVersionIsOverwritten() {
    CPPUNIT_ASSERT(MayOverwriteStaged({2, 0.1}, {3, 0}, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StagingAreaTest);

}  // namespace
}  // namespace verbenalead::decide
