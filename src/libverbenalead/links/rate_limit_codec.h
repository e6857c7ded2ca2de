#ifndef VERBENALEAD_LINKS_RATE_LIMIT_CODEC_H_
#define VERBENALEAD_LINKS_RATE_LIMIT_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>

#include "base/failure.h"
#include "links/token_answer.h"
#include "links/token_request.h"

namespace verbenalead::links {

/// JSON form of reports about rate limits and of the messages for tokens.
/// A report is a pair of the rate, -1 for none, and the age in ms.
void EncodeRateLimit(boost::json::object& object,
                     const std::optional<RateLimitReport>& report);
Result<std::optional<RateLimitReport>> DecodeRateLimit(
    const boost::json::object& object);

boost::json::object EncodeTokenRequest(const TokenRequest& request);
Result<TokenRequest> DecodeTokenRequest(const boost::json::object& object);
boost::json::object EncodeTokenAnswer(const TokenAnswer& answer);
Result<TokenAnswer> DecodeTokenAnswer(const boost::json::object& object);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_RATE_LIMIT_CODEC_H_
