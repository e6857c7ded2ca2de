#ifndef VERBENALEAD_LINKS_ENTRY_NEWS_H_
#define VERBENALEAD_LINKS_ENTRY_NEWS_H_

#include <vector>

#include "decide/quarantine.h"
#include "model/entry_address.h"

namespace verbenalead::links {

/// What an entry tells the other entries.
struct EntryNews {
  model::EntryAddress m_address;
  /// It takes calls.
  bool m_ready = false;
  std::vector<decide::CrashNote> m_crashes;

  friend bool operator==(const EntryNews&, const EntryNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ENTRY_NEWS_H_
