#ifndef VERBENALEAD_DECIDE_CHANGE_SOURCE_H_
#define VERBENALEAD_DECIDE_CHANGE_SOURCE_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Where a host that has missed a change of declared weights reads it.
enum class ChangeSource { kNone, kNearEntry, kStore };

/// What a target process knows of the operator's changes. Each question that it
/// asks the store brings the whole configuration over the link between regions,
/// 100 KB and more, so that it asks only where no near entry can tell.
struct ChangeWatch {
  /// The newest change of declared weights that is known here.
  uint64_t m_weights_revision = 0;
  /// When an entry last told of its own, and when one of this data centre did.
  TimePoint m_told_at{};
  TimePoint m_told_near_at{};
};

/// An entry tells that it knows `revision`; the answer says where to read it.
/// Entries of the store's own region hear first and tell all hosts at once:
/// where a near entry tells too, it is read from that one, which hears 0.4 s
/// later at most.
ChangeSource TakeTold(ChangeWatch& watch,
                      bool near,
                      uint64_t revision,
                      TimePoint now);

/// Least time between two questions to the store that nobody asked for. A host
/// that has just been added is told nothing until its replica is listed: 24 of
/// them, which read each of 25 quick changes, filled the links between regions
/// for 5 s, and entries heard of changes 3 s late.
Duration QuestionInterval(const ChangeWatch& watch, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CHANGE_SOURCE_H_
