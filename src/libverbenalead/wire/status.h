#ifndef VERBENALEAD_WIRE_STATUS_H_
#define VERBENALEAD_WIRE_STATUS_H_

namespace verbenalead::wire {

/// Whether `status` is one of an answer (RFC 9110, 15). Any other number, such
/// as 0 or 999, is the sign of a server in trouble: what it sent is no answer.
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

/// Whether `status` is one that precedes an answer. 101 is none: it answers a
/// request to change the protocol, and none is ever made.
constexpr bool IsInterimStatus(int status) {
  return status >= 100 && status <= 199 && status != 101;
}

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_STATUS_H_
