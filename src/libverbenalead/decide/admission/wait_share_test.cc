#include "decide/admission/wait_share.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace verbenalead::decide {
namespace {

class WaitShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitShareTest);
  CPPUNIT_TEST(AdaptsToUnexpectedDelays);
  CPPUNIT_TEST(RecoversOnceDelaysEnd);
  CPPUNIT_TEST(IsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each call is placed at the last moment and takes 0 to 100 ms more than
  // estimated, so that all are late. With the learned share of a wait limit of
  // 200 ms, about one in twenty is.
  void AdaptsToUnexpectedDelays() {
    constexpr double kWaitLimit = 200;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> extra(0, 100);
    WaitShare share;
    int late = 0;
    for (int call = 0; call < 2000; ++call) {
      const bool is_late =
          kWaitLimit * share.m_share + extra(random) > kWaitLimit;
      NoteFirstEvent(share, is_late);
      late += call >= 1000 && is_late ? 1 : 0;
    }
    CPPUNIT_ASSERT(late <= 80);
    CPPUNIT_ASSERT(share.m_share >= 0.4);
  }

  void RecoversOnceDelaysEnd() {
    WaitShare share{kMinWaitShare};
    for (int call = 0; call < 400; ++call)
      NoteFirstEvent(share, false);
    CPPUNIT_ASSERT(share == WaitShare());
  }

  void IsBounded() {
    WaitShare share;
    for (int call = 0; call < 1000; ++call)
      NoteFirstEvent(share, true);
    CPPUNIT_ASSERT_EQUAL(kMinWaitShare, share.m_share);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitShareTest);

}  // namespace
}  // namespace verbenalead::decide
