#ifndef VERBENALEAD_DECIDE_ATTEMPTS_EVENT_SPLITTER_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace verbenalead::decide {

/// Splits a stream of server-sent events into complete events and keeps the id
/// of the last one, from which another replica can continue the stream.
///
/// The stream of a replica may break off in the middle of an event. If the
/// partial event were forwarded to the caller, the events of another replica
/// could not follow it. An event is therefore forwarded only when it is
/// complete, and a partial event is discarded when the stream breaks off.
struct EventSplitter {
  /// The received part of an incomplete event.
  std::string m_partial;
  /// Id of the last complete event that had one; empty if none had.
  std::string m_last_id;
  uint64_t m_events = 0;
};

/// Appends `bytes` and returns the events that are now complete, byte for byte
/// as received.
std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes);

/// Discards the partial event, before another replica continues the stream.
void DiscardPartialEvent(EventSplitter& splitter);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_EVENT_SPLITTER_H_
