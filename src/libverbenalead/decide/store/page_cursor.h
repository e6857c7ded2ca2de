#ifndef VERBENALEAD_DECIDE_STORE_PAGE_CURSOR_H_
#define VERBENALEAD_DECIDE_STORE_PAGE_CURSOR_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// Decides whether a read of a table goes on with another page.
///
/// Failure: a page begins again at or before the last key of the page before
/// it, because a key was read as another one, or the store goes on stating that
/// there is more. Symptom: the read never ends, its memory grows, and the
/// process never has the table. Each page must begin after the last key, so a
/// read ends with the table or with a failure; the bounds end one whose keys
/// rise for ever.
struct PageCursor {
  /// Last key of the newest page; absent before the first one.
  std::optional<std::string> m_last_key;
  /// Pages that were read.
  size_t m_pages = 0;
  /// Size of all keys and values, in bytes.
  size_t m_bytes = 0;
  TimePoint m_started{};

  friend bool operator==(const PageCursor&, const PageCursor&) = default;
};

/// What one page holds.
struct PageFacts {
  /// Absent if the page has no key.
  std::optional<std::string> m_first_key;
  std::optional<std::string> m_last_key;
  size_t m_bytes = 0;
  bool m_has_more = false;
};

enum class PageStep {
  kDone,
  kReadNext,
  /// The page begins at or before the last key, or its keys don't rise.
  kNotAfterLastKey,
  /// The page states that there are more rows, and has no key itself.
  kNoKey,
  kTooLarge,
  kTooSlow,
};

/// Bounds of one read. A table of 3,000 replicas has 1 MB and is read within a
/// second.
constexpr size_t kMaxTableBytes = size_t{16} << 20;
constexpr Duration kMaxTableTime = 30s;

/// Length of the longest key, in bytes.
constexpr size_t kMaxKeyBytes = 200;

/// The least key after `key`, in ascending order of bytes.
std::string LeastKeyAfter(std::string key);

/// Records a page, and returns what to do then.
PageStep RecordPage(PageCursor& cursor, const PageFacts& page, TimePoint now);

const char* ToString(PageStep step);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_PAGE_CURSOR_H_
