#ifndef VERBENALEAD_LINKS_ENTRY_NEWS_H_
#define VERBENALEAD_LINKS_ENTRY_NEWS_H_

#include <map>
#include <string>
#include <vector>

#include "decide/crash_suspects.h"
#include "links/replica_calls.h"
#include "model/entry_address.h"

namespace verbenalead::links {

/// What an entry tells the other entries several times a second.
struct EntryNews {
  model::EntryAddress m_address;
  /// It takes calls.
  bool m_ready = false;
  /// Calls that it has at each replica; those with none are left out.
  std::map<std::string, ReplicaCalls> m_in_flight;
  std::vector<decide::CrashNote> m_crashes;

  friend bool operator==(const EntryNews&, const EntryNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ENTRY_NEWS_H_
