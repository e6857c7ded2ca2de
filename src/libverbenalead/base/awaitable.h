#ifndef VERBENALEAD_BASE_AWAITABLE_H_
#define VERBENALEAD_BASE_AWAITABLE_H_

#include <boost/asio/awaitable.hpp>

namespace verbenalead {

/// The coroutine type of all asynchronous functions.
template <typename T = void>
using Awaitable = boost::asio::awaitable<T>;

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_AWAITABLE_H_
