#ifndef VERBENALEAD_DECIDE_ADMISSION_CALL_PROGRESS_H_
#define VERBENALEAD_DECIDE_ADMISSION_CALL_PROGRESS_H_

#include <cstdint>

#include "model/route.h"

namespace verbenalead::decide {

/// Attempts of one call so far, and how often its route lets it run. Decides
/// whether the call may be retried or hedged.
struct CallProgress {
  model::CallKind m_kind = model::CallKind::kAtMostOnce;
  bool m_resumable = false;
  uint32_t m_max_attempts = 1;
  /// Attempts that were sent to a replica.
  uint32_t m_sent_attempts = 0;
  /// Attempts that may have run, because nothing proves that they did not.
  uint32_t m_possible_runs = 0;
  /// Attempts that were handed to the network and whose end isn't recorded yet.
  uint32_t m_open_attempts = 0;
  /// The replica of the current attempt has begun its answer. While false, the
  /// attempt is still on its way to the replica and not included in
  /// `m_sent_attempts` and `m_possible_runs`.
  bool m_answer_begun = false;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_CALL_PROGRESS_H_
