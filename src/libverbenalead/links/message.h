#ifndef VERBENALEAD_LINKS_MESSAGE_H_
#define VERBENALEAD_LINKS_MESSAGE_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/failure.h"
#include "links/call_news.h"
#include "links/chunk_news.h"
#include "links/data_center_summary.h"
#include "links/draw_news.h"
#include "links/entry_news.h"
#include "links/follow_request.h"
#include "links/place_answer.h"
#include "links/place_request.h"
#include "links/place_withdrawal.h"
#include "links/replica_news.h"

namespace verbenalead::links {

/// One datagram between processes of this project. Datagrams may be lost,
/// duplicated or delayed. So each carries a whole state rather than a
/// difference, and senders resend or time out instead of relying on an answer.
using Message = std::variant<EntryNews,
                             CallNews,
                             ReplicaNews,
                             ChunkNews,
                             DrawNews,
                             FollowRequest,
                             PlaceRequest,
                             PlaceAnswer,
                             PlaceWithdrawal,
                             DataCenterSummary>;

std::string EncodeMessage(const Message& message);
/// Fails with kInvalid on text that EncodeMessage can't have written.
Result<Message> DecodeMessage(std::string_view text);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_MESSAGE_H_
