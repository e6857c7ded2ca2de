#include "decide/store/page_cursor.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

namespace verbenalead::decide {
namespace {

using Keys = std::vector<std::string>;

PageFacts Page(const Keys& keys, bool has_more) {
  PageFacts page;
  if (!keys.empty()) {
    page.m_first_key = keys.front();
    page.m_last_key = keys.back();
  }
  page.m_bytes = keys.size();
  page.m_has_more = has_more;
  return page;
}

class PageCursorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PageCursorTest);
  CPPUNIT_TEST(ReadsAllKeysOnceWhateverTheyHold);
  CPPUNIT_TEST(PageThatBeginsAgainEndsTheRead);
  CPPUNIT_TEST(PageWithoutKeysEndsTheRead);
  CPPUNIT_TEST(KeysThatRiseForEverEndTheRead);
  CPPUNIT_TEST(LongestKeyHasNoLongerOneAfterIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against rows that are missing or come twice where a page ends.
  void ReadsAllKeysOnceWhateverTheyHold() {
    CPPUNIT_ASSERT(rc::check([](const std::set<std::string>& table) {
      const size_t size = *rc::gen::inRange<size_t>(1, 4);
      const Keys all(table.begin(), table.end());
      PageCursor cursor;
      Keys read;
      PageStep step = PageStep::kReadNext;
      std::string from;
      while (step == PageStep::kReadNext) {
        const auto first = std::lower_bound(all.begin(), all.end(), from);
        const auto left = static_cast<size_t>(all.end() - first);
        const Keys keys(first, first + static_cast<long>(std::min(left, size)));
        read.insert(read.end(), keys.begin(), keys.end());
        step = RecordPage(cursor, Page(keys, left > size), TimePoint());
        from = LeastKeyAfter(cursor.m_last_key.value_or(""));
      }
      RC_ASSERT(step == PageStep::kDone);
      RC_ASSERT(read == all);
    }));
  }

  // Guards against a read without end: a key was read as another one.
  void PageThatBeginsAgainEndsTheRead() {
    PageCursor cursor;
    CPPUNIT_ASSERT(RecordPage(cursor, Page({"a", "i-3+"}, true), TimePoint()) ==
                   PageStep::kReadNext);
    PageCursor same = cursor;
    CPPUNIT_ASSERT(RecordPage(same, Page({"i-3+"}, true), TimePoint()) ==
                   PageStep::kNotAfterLastKey);
    CPPUNIT_ASSERT(RecordPage(cursor, Page({"a", "z"}, false), TimePoint()) ==
                   PageStep::kNotAfterLastKey);
  }

  // Guards against a read without end: the store states more rows for ever.
  void PageWithoutKeysEndsTheRead() {
    PageCursor cursor;
    CPPUNIT_ASSERT(RecordPage(cursor, Page({}, true), TimePoint()) ==
                   PageStep::kNoKey);
    CPPUNIT_ASSERT(RecordPage(cursor, Page({}, false), TimePoint()) ==
                   PageStep::kDone);
  }

  // Guards against memory and time without bound.
  void KeysThatRiseForEverEndTheRead() {
    PageCursor large;
    PageFacts page = Page({"a"}, true);
    page.m_bytes = kMaxTableBytes + 1;
    CPPUNIT_ASSERT(RecordPage(large, page, TimePoint()) == PageStep::kTooLarge);
    PageCursor slow;
    const TimePoint late = TimePoint() + kMaxTableTime + 1ms;
    CPPUNIT_ASSERT(RecordPage(slow, Page({"a"}, true), late) ==
                   PageStep::kTooSlow);
    CPPUNIT_ASSERT(RecordPage(slow, Page({"b"}, false), late) ==
                   PageStep::kDone);
  }

  // Guards against a key that the store rejects as too long.
  void LongestKeyHasNoLongerOneAfterIt() {
    const std::string longest(kMaxKeyBytes, 'k');
    const std::string after = LeastKeyAfter(longest);
    CPPUNIT_ASSERT_EQUAL(kMaxKeyBytes, after.size());
    CPPUNIT_ASSERT(after > longest);
    CPPUNIT_ASSERT(LeastKeyAfter("a") == std::string("a\0", 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PageCursorTest);

}  // namespace
}  // namespace verbenalead::decide
