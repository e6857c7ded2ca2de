#ifndef VERBENALEAD_LINKS_LOAD_NEWS_H_
#define VERBENALEAD_LINKS_LOAD_NEWS_H_

#include <map>
#include <string>

#include "links/replica_calls.h"

namespace verbenalead::links {

/// What has changed in the calls that an entry has at replicas since it last
/// told. Small, since it goes to all entries many times a second, between data
/// centres too; EntryNews tell all anew for whoever missed one.
struct LoadNews {
  std::string m_host;
  /// By replica; none where there are none any more.
  std::map<std::string, ReplicaCalls> m_in_flight;

  friend bool operator==(const LoadNews&, const LoadNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_LOAD_NEWS_H_
