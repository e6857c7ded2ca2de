#ifndef VERBENALEAD_MODEL_CALL_KIND_H_
#define VERBENALEAD_MODEL_CALL_KIND_H_

namespace verbenalead::model {

/// Determines how a call is handled when its outcome is unknown.
enum class CallKind {
  kIdempotent,  ///< The call may be executed again.
  kAtMostOnce,  ///< The call must not be executed again.
  kStream,      ///< The response is a stream of numbered events.
};

inline const char* ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kIdempotent:
      return "idempotent";
    case CallKind::kAtMostOnce:
      return "at_most_once";
    case CallKind::kStream:
      return "stream";
  }
  return "unknown";
}

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_CALL_KIND_H_
