#ifndef VERBENALEAD_MODEL_TARGET_REPORT_H_
#define VERBENALEAD_MODEL_TARGET_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/endpoint.h"

namespace verbenalead::model {

/// The status that a target reports to entries.
struct TargetReport {
  std::string m_name;
  std::string m_pool;
  Endpoint m_peer;
  /// Increases with each start of the target process.
  uint64_t m_incarnation = 0;
  /// Maximum and current number of attempts that run at the same time.
  uint32_t m_capacity = 0;
  uint32_t m_running = 0;
  bool m_open = false;
  bool m_leaving = false;
  /// The active version of the weights; empty for a service without a model.
  Digest m_digest;
  std::string m_version;
  /// The active configuration revision.
  uint64_t m_revision = 0;
  /// Stage of the rollout at this target: fetching, waiting, loading, in force,
  /// failed, idle or deposed; and the reason for waiting or failure.
  std::string m_stage;
  std::string m_reason;
  /// The version being fetched or loaded, with its number of chunks held by the
  /// target and in total.
  std::string m_loading_version;
  uint32_t m_chunks_held = 0;
  uint32_t m_chunks_total = 0;
  /// Bytes of weights fetched since the process started, by source.
  uint64_t m_origin_bytes = 0;
  uint64_t m_peer_bytes = 0;

  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

std::string ToJson(const TargetReport& report);
Result<TargetReport> ParseTargetReport(std::string_view json);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_TARGET_REPORT_H_
