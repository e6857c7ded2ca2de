#ifndef VERBENALEAD_DECIDE_WEIGHTS_WATCH_H_
#define VERBENALEAD_DECIDE_WEIGHTS_WATCH_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "base/time.h"

namespace verbenalead::decide {

/// The versions of one model's weights that have been declared, and from when
/// on calls may begin on no older one.
struct WeightsWatch {
  std::map<uint64_t, TimePoint> m_binding_from;
};

/// A version was seen to be declared. The first time counts.
inline void Declare(WeightsWatch& watch, uint64_t version, TimePoint binding) {
  watch.m_binding_from.emplace(version, binding);
}

/// The newest version that has been declared; 0: none.
inline uint64_t Newest(const WeightsWatch& watch) {
  return watch.m_binding_from.empty() ? 0
                                      : watch.m_binding_from.rbegin()->first;
}

/// The oldest version on which a call may begin now; 0: any.
inline uint64_t Binding(const WeightsWatch& watch, TimePoint now) {
  uint64_t binding = 0;
  for (const auto& [version, from] : watch.m_binding_from) {
    if (from <= now)
      binding = version;
  }
  return binding;
}

/// From when on no call may begin on `version` any more.
inline TimePoint BindsAgainst(const WeightsWatch& watch, uint64_t version) {
  TimePoint from = TimePoint::max();
  for (const auto& [newer, binding] : watch.m_binding_from) {
    if (newer > version)
      from = std::min(from, binding);
  }
  return from;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_WEIGHTS_WATCH_H_
