#include "decide/change_source.h"

namespace verbenalead::decide {
namespace {

/// Entries tell once a second, far ones every other second. After this time
/// without a word none of them is there.
constexpr Duration kSilence = 5s;
/// A near entry that told so lately, three times, will tell of this change too.
constexpr Duration kNearSilence = 3s;
/// In case that an entry tells of revisions, but not of the newest one.
constexpr Duration kToldInterval = 60s;
/// New weights have to be everywhere 8 s after they were declared, of which
/// their transfer takes 5 s.
constexpr Duration kUntoldInterval = 1500ms;

bool IsRecent(TimePoint at, Duration age, TimePoint now) {
  return at != TimePoint() && now - at < age;
}

}  // namespace

ChangeSource TakeTold(ChangeWatch& watch,
                      bool near,
                      uint64_t revision,
                      TimePoint now) {
  watch.m_told_at = now;
  if (near)
    watch.m_told_near_at = now;
  if (revision <= watch.m_weights_revision)
    return ChangeSource::kNone;
  if (near)
    return ChangeSource::kNearEntry;
  return IsRecent(watch.m_told_near_at, kNearSilence, now)
             ? ChangeSource::kNone
             : ChangeSource::kStore;
}

Duration QuestionInterval(const ChangeWatch& watch, TimePoint now) {
  return IsRecent(watch.m_told_at, kSilence, now) ? kToldInterval
                                                  : kUntoldInterval;
}

}  // namespace verbenalead::decide
