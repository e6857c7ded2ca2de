#ifndef VERBENALEAD_DECIDE_ADMISSION_SERVICE_TIME_H_
#define VERBENALEAD_DECIDE_ADMISSION_SERVICE_TIME_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"
#include "model/call.h"

namespace verbenalead::decide {

/// Cost of a call in units of work: its expected tokens, or 1 if these are
/// unknown, as for services that run no model.
inline double WorkUnits(const model::Call& call) {
  return std::max<uint32_t>(call.expected_tokens(), 1);
}

/// Measured time per unit of work: the ratio of two exponentially decayed sums,
/// so that a long call weighs more than a short one.
struct ServiceTime {
  double m_seconds = 0;
  double m_units = 0;
};

/// Share of the sums that each new sample removes: about the last 200 calls
/// count.
constexpr double kServiceTimeDecay = 0.005;

inline void Add(ServiceTime& time, double units, Duration elapsed) {
  const double kept = 1 - kServiceTimeDecay;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  time.m_seconds = time.m_seconds * kept + seconds;
  time.m_units = time.m_units * kept + units;
}

/// Seconds per unit; 0 before the first sample.
inline double SecondsPerUnit(const ServiceTime& time) {
  return time.m_units > 0 ? time.m_seconds / time.m_units : 0;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_SERVICE_TIME_H_
