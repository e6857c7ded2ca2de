#ifndef VERBENALEAD_PLATFORM_CALL_HEADERS_H_
#define VERBENALEAD_PLATFORM_CALL_HEADERS_H_

#include <string>
#include <vector>

#include "model/inbound_call.h"
#include "platform/answer_metadata.h"
#include "platform/forwarded_call.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::platform {

/// Reads the properties of a call from a caller's request. Header fields that
/// are absent or malformed leave the defaults.
model::InboundCall DecodeCall(const wire::Request& request);

/// Returns the request to send to a replica: method, path, query and body of
/// `request` unchanged, without the caller's key, without the header fields of
/// the caller's connection, and with the fields of `call`.
wire::Request EncodeForReplica(const wire::Request& request,
                               const ForwardedCall& call);

AnswerMetadata DecodeAnswer(const wire::ResponseHead& head);

/// Names of the header fields of an answer that this project neither reads nor
/// knows as fields of HTTP. A replica that asks something of its callers in
/// such a field gets no response to it.
std::vector<std::string> UnknownAnswerFields(const wire::ResponseHead& head);

/// Returns `head` without the header fields of the replica's connection, to be
/// sent to the caller.
wire::ResponseHead EncodeForCaller(wire::ResponseHead head);

/// Returns an answer of the entry itself that refuses a call. Without a
/// `retry-after` field if `retry_after` is zero.
wire::Response EncodeRefusal(int status,
                             const std::string& call_id,
                             const std::string& reason,
                             Duration retry_after);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_CALL_HEADERS_H_
