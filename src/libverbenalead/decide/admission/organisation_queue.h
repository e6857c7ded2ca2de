#ifndef VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_QUEUE_H_
#define VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_QUEUE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <set>

#include "base/time.h"
#include "model/call.h"

namespace verbenalead::decide {

/// A waiting call. Calls compare in the order of service within an
/// organisation: the most urgent first, then the earliest deadline.
struct WaitingCall {
  int m_urgency = model::kDefaultUrgency;
  TimePoint m_deadline{};
  uint64_t m_ticket = 0;
  double m_units = 1;

  friend auto operator<=>(const WaitingCall&, const WaitingCall&) = default;
};

/// The waiting calls of one organisation and its state for fair queueing.
struct OrganisationQueue {
  static constexpr size_t kUrgencies = model::kLeastUrgent + 1;

  double m_weight = 1;
  /// Start tag of start-time fair queueing: units of work served, divided by
  /// m_weight.
  double m_tag = 0;
  std::set<WaitingCall> m_calls;
  /// Units of work that wait, by urgency.
  std::array<double, kUrgencies> m_units{};
  /// Units of work admitted, by urgency, decayed with kRateDecayTime.
  std::array<double, kUrgencies> m_arrived{};
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_ORGANISATION_QUEUE_H_
