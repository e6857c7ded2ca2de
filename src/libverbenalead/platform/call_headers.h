#ifndef VERBENALEAD_PLATFORM_CALL_HEADERS_H_
#define VERBENALEAD_PLATFORM_CALL_HEADERS_H_

#include "model/inbound_call.h"
#include "platform/answer_facts.h"
#include "platform/forwarded_call.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::platform {

/// What `request` says of itself.
model::InboundCall DecodeCall(const wire::Request& request);

/// `request` as it goes on to a replica: method, path, query and body as they
/// came, without the caller's key and without what concerns its connection.
wire::Request EncodeForReplica(const wire::Request& request,
                               const ForwardedCall& call);

AnswerFacts DecodeAnswer(const wire::ResponseHead& head);

/// `head` as it goes back to the caller.
wire::ResponseHead EncodeForCaller(wire::ResponseHead head);

/// An answer of our own. `retry_after` of zero: none is told.
wire::Response EncodeRefusal(int status,
                             const std::string& call_id,
                             const std::string& reason,
                             Duration retry_after);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_CALL_HEADERS_H_
