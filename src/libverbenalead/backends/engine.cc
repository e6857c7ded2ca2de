#include "backends/engine.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::backends {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

Result<EngineStatus> ReadModel(const json::object& object) {
  EngineStatus status;
  BOOST_LEAF_ASSIGN(status.m_model, model::TextField(object, "id"));
  BOOST_LEAF_AUTO(digest, model::TextField(object, "digest"));
  BOOST_LEAF_ASSIGN(status.m_digest, ParseDigest(digest));
  return status;
}

Result<EngineStatus> ReadStatus(const std::string& body) {
  BOOST_LEAF_AUTO(object, model::ParseObject(body, "model list"));
  const json::value* data = object.if_contains("data");
  if (data == nullptr || !data->is_array())
    return model::BadField("data", "a list of models");
  if (data->get_array().empty() || !data->get_array()[0].is_object())
    return EngineStatus{};
  return ReadModel(data->get_array()[0].get_object());
}

}  // namespace

Awaitable<AsyncResult<EngineStatus>> Engine::Load(LoadOrder order,
                                                  TimePoint deadline) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/v1/load";
  request.m_headers["content-type"] = "application/json";
  request.m_body =
      json::serialize(json::object{{"model", order.m_model},
                                   {"version", order.m_version},
                                   {"digest", ToString(order.m_digest)},
                                   {"weights_url", order.m_weights_url},
                                   {"fence", order.m_fencing_token}});
  auto response =
      co_await wire::Fetch(m_client, m_endpoint, std::move(request), deadline);
  if (!response)
    co_return response.error();
  if (response->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "load " + order.m_version,
                      ToString(m_endpoint), response->m_body};
  }
  co_return CatchFailure([&]() -> Result<EngineStatus> {
    BOOST_LEAF_AUTO(object, model::ParseObject(response->m_body, "load"));
    return ReadModel(object);
  });
}

Awaitable<AsyncResult<EngineStatus>> Engine::Status(TimePoint deadline) {
  wire::Request request;
  request.m_path = "/v1/models";
  auto response =
      co_await wire::Fetch(m_client, m_endpoint, std::move(request), deadline);
  if (!response)
    co_return response.error();
  co_return CatchFailure([&] { return ReadStatus(response->m_body); });
}

Awaitable<void> Engine::WaitForDisconnect() {
  boost::system::error_code error;
  const asio::ip::tcp::endpoint remote(
      asio::ip::make_address(m_endpoint.address(), error), m_endpoint.port());
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect(
      remote, asio::redirect_error(asio::use_awaitable, error));
  if (error)
    co_return;
  char byte = 0;
  co_await socket.async_read_some(
      asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
}

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>> Engine::Send(
    wire::Request request,
    TimePoint deadline) {
  return m_client.Open(m_endpoint, std::move(request), deadline);
}

}  // namespace verbenalead::backends
