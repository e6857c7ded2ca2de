#ifndef VERBENALEAD_DECIDE_DRAW_REPORT_H_
#define VERBENALEAD_DECIDE_DRAW_REPORT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::decide {

/// What a host says of its draws from the origin.
struct DrawReport {
  std::string m_host;
  /// Chunks on their way.
  std::vector<uint32_t> m_under_way;
  /// Chunks that have just come.
  std::vector<uint32_t> m_drawn;

  friend bool operator==(const DrawReport&, const DrawReport&) = default;
};

/// Whether the report names only chunks of a version that has `chunks` of them.
inline bool IsWithin(const DrawReport& report, uint32_t chunks) {
  const auto known = [chunks](uint32_t chunk) { return chunk < chunks; };
  return std::all_of(report.m_under_way.begin(), report.m_under_way.end(),
                     known) &&
         std::all_of(report.m_drawn.begin(), report.m_drawn.end(), known);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_DRAW_REPORT_H_
