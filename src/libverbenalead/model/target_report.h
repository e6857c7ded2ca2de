#ifndef VERBENALEAD_MODEL_TARGET_REPORT_H_
#define VERBENALEAD_MODEL_TARGET_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/endpoint.h"

namespace verbenalead::model {

/// What a target says of itself.
struct TargetReport {
  std::string m_name;
  std::string m_pool;
  Endpoint m_peer;
  /// Rises with each start of the target process.
  uint64_t m_incarnation = 0;
  /// Attempts that may run at once, and that do.
  uint32_t m_capacity = 0;
  uint32_t m_running = 0;
  bool m_open = false;
  bool m_leaving = false;
  /// The version that is in force there; empty for a plain service.
  Digest m_digest;
  std::string m_version;
  /// The configuration revision in force there.
  uint64_t m_revision = 0;
  /// Where the rollout stands here: fetching, waiting, loading, in force,
  /// failed, idle or deposed; and why it waits or failed.
  std::string m_stage;
  std::string m_reason;
  /// The version on its way: chunks here and in all.
  std::string m_loading;
  uint32_t m_chunks_held = 0;
  uint32_t m_chunks_total = 0;
  /// Bytes of weights drawn since start, by source.
  uint64_t m_origin_bytes = 0;
  uint64_t m_peer_bytes = 0;

  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

std::string ToJson(const TargetReport& report);
Result<TargetReport> ParseTargetReport(std::string_view json);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_TARGET_REPORT_H_
