#include "decide/store/page_cursor.h"

namespace verbenalead::decide {
namespace {

constexpr char kGreatestByte = '\xFF';

bool BeginsAfterLastKey(const PageCursor& cursor, const PageFacts& page) {
  return !cursor.m_last_key || !page.m_first_key ||
         *page.m_first_key > *cursor.m_last_key;
}

}  // namespace

std::string LeastKeyAfter(std::string key) {
  if (key.size() < kMaxKeyBytes) {
    key += '\0';
    return key;
  }
  // No key is longer, so the least one after it differs in its last byte.
  while (!key.empty() && key.back() == kGreatestByte)
    key.pop_back();
  if (!key.empty())
    ++key.back();
  return key;
}

PageStep RecordPage(PageCursor& cursor, const PageFacts& page, TimePoint now) {
  if (!BeginsAfterLastKey(cursor, page) ||
      (page.m_has_more && page.m_first_key > page.m_last_key))
    return PageStep::kNotAfterLastKey;
  ++cursor.m_pages;
  cursor.m_bytes += page.m_bytes;
  if (page.m_last_key)
    cursor.m_last_key = page.m_last_key;
  if (cursor.m_bytes > kMaxTableBytes)
    return PageStep::kTooLarge;
  if (!page.m_has_more)
    return PageStep::kDone;
  if (!page.m_last_key)
    return PageStep::kNoKey;
  return now - cursor.m_started > kMaxTableTime ? PageStep::kTooSlow
                                                : PageStep::kReadNext;
}

const char* ToString(PageStep step) {
  switch (step) {
    case PageStep::kDone:
      return "done";
    case PageStep::kReadNext:
      return "read on";
    case PageStep::kNotAfterLastKey:
      return "the page doesn't begin after the last key";
    case PageStep::kNoKey:
      return "the page has no key and isn't the last one";
    case PageStep::kTooLarge:
      return "the table is too large";
    case PageStep::kTooSlow:
      return "the table takes too long";
  }
  return "unknown";
}

}  // namespace verbenalead::decide
