#include "backends/object_store.h"

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <sstream>

#include "wire/request_target.h"

namespace verbenalead::backends {
namespace {

AsyncResult<std::string> Checked(AsyncResult<wire::Response> response,
                                 const std::string& step,
                                 const Endpoint& endpoint) {
  if (!response)
    return response.error();
  if (response->m_status == 200)
    return std::move(response->m_body);
  const FailureCode code = response->m_status == 404 ? FailureCode::kNotFound
                                                     : FailureCode::kRefused;
  return Failure{code, step, ToString(endpoint),
                 "status " + std::to_string(response->m_status)};
}

/// The target of an object, whose key may have several segments.
std::string ObjectTarget(const std::string& bucket, const std::string& key) {
  wire::RequestTarget target("");
  target.Segment(bucket);
  std::istringstream segments(key);
  for (std::string segment; std::getline(segments, segment, '/');)
    target.Segment(segment);
  return target.Build();
}

AsyncResult<std::vector<std::string>> ReadList(const std::string& body,
                                               const Endpoint& endpoint) {
  std::vector<std::string> keys;
  try {
    boost::property_tree::ptree document;
    std::istringstream stream(body);
    boost::property_tree::read_xml(stream, document);
    for (const auto& [name, node] : document.get_child("ListBucketResult")) {
      if (name == "Contents")
        keys.push_back(node.get<std::string>("Key"));
    }
  } catch (const boost::property_tree::ptree_error& error) {
    return Failure{FailureCode::kInvalid, "list objects", ToString(endpoint),
                   error.what()};
  }
  return keys;
}

}  // namespace

Awaitable<AsyncResult<bool>> ObjectStore::Put(std::string key,
                                              std::string bytes) {
  wire::Request request;
  request.m_method = "PUT";
  request.m_path = ObjectTarget(m_bucket, key);
  request.m_body = std::move(bytes);
  auto body =
      Checked(co_await wire::Fetch(m_client, m_endpoint, std::move(request),
                                   Now() + m_timeout),
              "put object " + key, m_endpoint);
  if (!body)
    co_return body.error();
  co_return true;
}

Awaitable<AsyncResult<std::string>> ObjectStore::Get(std::string key) {
  wire::Request request;
  request.m_path = ObjectTarget(m_bucket, key);
  co_return Checked(co_await wire::Fetch(m_client, m_endpoint,
                                         std::move(request), Now() + m_timeout),
                    "get object " + key, m_endpoint);
}

Awaitable<AsyncResult<std::vector<std::string>>> ObjectStore::List(
    std::string prefix,
    std::string start_after) {
  wire::RequestTarget target("");
  target.Segment(m_bucket).Field("list-type", 2).Field("prefix", prefix);
  if (!start_after.empty())
    target.Field("start-after", start_after);
  wire::Request request;
  request.m_path = target.Build();
  auto body =
      Checked(co_await wire::Fetch(m_client, m_endpoint, std::move(request),
                                   Now() + m_timeout),
              "list objects", m_endpoint);
  if (!body)
    co_return body.error();
  co_return ReadList(*body, m_endpoint);
}

}  // namespace verbenalead::backends
