#ifndef VERBENALEAD_DECIDE_TRANSFER_ORIGIN_FETCH_REPORT_H_
#define VERBENALEAD_DECIDE_TRANSFER_ORIGIN_FETCH_REPORT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::decide {

/// What a host says of the origin in an announcement.
enum class OriginStatus {
  kNotStated,
  /// The origin is unavailable, and the announced fetch probes it.
  kProbed,
  /// The origin answers again.
  kAnswers
};

/// Announcement of one host about its fetches from the origin, sent to the
/// other hosts so that they do not fetch the same chunks.
struct OriginFetchReport {
  std::string m_host;
  /// Chunks that it is fetching from the origin.
  std::vector<uint32_t> m_in_progress;
  /// Chunks whose fetch from the origin has just completed.
  std::vector<uint32_t> m_origin_fetched;
  OriginStatus m_origin = OriginStatus::kNotStated;

  friend bool operator==(const OriginFetchReport&,
                         const OriginFetchReport&) = default;
};

/// Whether the report names only chunks that exist in a version of `chunks`
/// chunks.
inline bool HasOnlyKnownChunks(const OriginFetchReport& report,
                               uint32_t chunks) {
  const auto known = [chunks](uint32_t chunk) { return chunk < chunks; };
  return std::all_of(report.m_in_progress.begin(), report.m_in_progress.end(),
                     known) &&
         std::all_of(report.m_origin_fetched.begin(),
                     report.m_origin_fetched.end(), known);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_ORIGIN_FETCH_REPORT_H_
