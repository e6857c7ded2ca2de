#ifndef VERBENALEAD_LINKS_ORIGIN_FETCH_UPDATE_H_
#define VERBENALEAD_LINKS_ORIGIN_FETCH_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "decide/transfer/origin_fetch_report.h"

namespace verbenalead::links {

/// Sent by a target process to all other target processes of its service: the
/// chunks that it is fetching or has just fetched from the origin. The others
/// then don't fetch the same chunks from the origin, which costs money per
/// byte.
struct OriginFetchUpdate {
  std::string m_model;
  uint64_t m_version = 0;
  decide::OriginFetchReport m_report;
  /// Older versions that the sender has given up for `m_version` or a version
  /// before it. Receivers give them up as well.
  std::vector<uint64_t> m_given_up;

  friend bool operator==(const OriginFetchUpdate&,
                         const OriginFetchUpdate&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ORIGIN_FETCH_UPDATE_H_
