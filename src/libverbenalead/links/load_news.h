#ifndef VERBENALEAD_LINKS_LOAD_NEWS_H_
#define VERBENALEAD_LINKS_LOAD_NEWS_H_

#include <cstdint>
#include <map>
#include <string>

namespace verbenalead::links {

/// What has changed in the calls that an entry has at replicas since it last
/// told. Small, since it goes to all entries many times a second, between data
/// centres too; EntryNews tell all anew for whoever missed one.
struct LoadNews {
  std::string m_host;
  /// By replica; 0 where there are none any more.
  std::map<std::string, uint32_t> m_in_flight;

  friend bool operator==(const LoadNews&, const LoadNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_LOAD_NEWS_H_
