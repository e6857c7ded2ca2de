#ifndef VERBENALEAD_MODEL_CALL_KIND_H_
#define VERBENALEAD_MODEL_CALL_KIND_H_

namespace verbenalead::model {

/// What may be done with a call whose outcome is unknown.
enum class CallKind {
  kIdempotent,  ///< It may run again.
  kAtMostOnce,  ///< It must not.
  kStream,      ///< Its answer is a series of numbered events.
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
