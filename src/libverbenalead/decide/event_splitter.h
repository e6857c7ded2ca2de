#ifndef VERBENALEAD_DECIDE_EVENT_SPLITTER_H_
#define VERBENALEAD_DECIDE_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace verbenalead::decide {

/// Cuts the bytes of an event stream at whole events, and remembers the last
/// one.
///
/// A replica may break off in the middle of an event. Were those bytes passed
/// on, another replica's events could not follow them; so an event is passed on
/// once it is whole, and what is left over at a break is dropped.
struct EventSplitter {
  /// The beginning of an event that isn't whole yet.
  std::string m_partial;
  /// Id of the last whole event; empty: none yet.
  std::string m_last_id;
  uint64_t m_events = 0;
};

/// Takes in `bytes` and returns the whole events that they complete, as they
/// came.
std::string TakeEvents(EventSplitter& splitter, std::string_view bytes);

/// Begins a new run of the same stream: the partial event is dropped.
void DropPartial(EventSplitter& splitter);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_EVENT_SPLITTER_H_
