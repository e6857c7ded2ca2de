#ifndef VERBENALEAD_ENTRY_UNSTARTED_CALLS_H_
#define VERBENALEAD_ENTRY_UNSTARTED_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"

namespace verbenalead::entry {

struct EntryState;

/// A call that was sent to a replica and hasn't begun to be answered: it waits
/// there, or its prompt is read.
struct UnstartedCall {
  std::string m_model;
  std::string m_replica;
  /// The replica's weights as known when the call was sent.
  uint64_t m_weights = 0;
  /// Gives the attempt up.
  std::function<void()> m_stop;
};

/// Time from which no call of `model` may begin on version `weights`, because
/// newer ones become mandatory; TimePoint::max(): no such time is known.
TimePoint WeightsDeadline(const EntryState& state,
                          const std::string& model,
                          uint64_t weights);

/// Gives up the calls that must not begin any more where they were sent.
///
/// Failure: a call waits at a replica, and its entry learns meanwhile that a
/// version was declared, or earlier than it thought. Symptom: the call begins
/// on weights that are barred, as its deadline was set when it was sent.
void StopBarredCalls(EntryState& state, TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_UNSTARTED_CALLS_H_
