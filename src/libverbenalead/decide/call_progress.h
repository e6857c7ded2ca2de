#ifndef VERBENALEAD_DECIDE_CALL_PROGRESS_H_
#define VERBENALEAD_DECIDE_CALL_PROGRESS_H_

#include <cstdint>

#include "model/route.h"

namespace verbenalead::decide {

/// How far one call has come.
struct CallProgress {
  model::CallKind m_kind = model::CallKind::kAtMostOnce;
  bool m_resumable = false;
  uint32_t m_max_attempts = 1;
  /// Attempts that went out to a replica.
  uint32_t m_sent = 0;
  /// Attempts of which nothing says that they didn't run.
  uint32_t m_runs = 0;
  /// The replica at work has begun its answer; false: it is on its way there,
  /// and not among those counted yet.
  bool m_begun = false;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CALL_PROGRESS_H_
