#ifndef VERBENALEAD_LINKS_WEIGHTS_NEWS_H_
#define VERBENALEAD_LINKS_WEIGHTS_NEWS_H_

#include <cstdint>
#include <string>

namespace verbenalead::links {

/// What a target process tells the entries about the replica on its host.
struct WeightsNews {
  std::string m_replica;
  std::string m_service;
  /// Version of the weights that it has loaded; 0: none.
  uint64_t m_version = 0;
  /// It takes no calls, for it is about to load or loads weights.
  bool m_loading = false;

  friend bool operator==(const WeightsNews&, const WeightsNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_WEIGHTS_NEWS_H_
