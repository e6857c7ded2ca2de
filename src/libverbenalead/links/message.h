#ifndef VERBENALEAD_LINKS_MESSAGE_H_
#define VERBENALEAD_LINKS_MESSAGE_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/failure.h"
#include "links/call_update.h"
#include "links/chunk_update.h"
#include "links/data_center_summary.h"
#include "links/entry_update.h"
#include "links/origin_fetch_update.h"
#include "links/replica_update.h"
#include "links/slot_answer.h"
#include "links/slot_request_message.h"
#include "links/slot_withdrawal.h"
#include "links/subscription_request.h"
#include "links/token_answer.h"
#include "links/token_request.h"

namespace verbenalead::links {

/// One datagram between processes of this project. Datagrams may be lost,
/// duplicated or delayed. So each carries a whole state rather than a
/// difference, and senders resend or time out instead of relying on an answer.
using Message = std::variant<EntryUpdate,
                             CallUpdate,
                             ReplicaUpdate,
                             ChunkUpdate,
                             OriginFetchUpdate,
                             SubscriptionRequest,
                             SlotRequestMessage,
                             SlotAnswer,
                             SlotWithdrawal,
                             DataCenterSummary,
                             TokenRequest,
                             TokenAnswer>;

std::string EncodeMessage(const Message& message);
/// Fails with kInvalid on text that EncodeMessage can't have written.
Result<Message> DecodeMessage(std::string_view text);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_MESSAGE_H_
