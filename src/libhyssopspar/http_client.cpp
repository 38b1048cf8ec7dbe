#include "hyssopspar/http_client.h"

#include <boost/asio/io_context.hpp>

#include "pvt/exchange.h"

namespace hyssopspar {

struct HttpClient::Impl {
  std::string m_address;
  boost::asio::io_context m_io;
  std::shared_ptr<pvt::Exchange> m_exchange;
};

HttpClient::HttpClient(std::string address) : m_impl(std::make_unique<Impl>()) {
  m_impl->m_address = std::move(address);
}

HttpClient::~HttpClient() = default;

const std::string& HttpClient::Address() const {
  return m_impl->m_address;
}

Result<HttpResponse> HttpClient::Send(const HttpRequest& request,
                                      TimePoint deadline) {
  if (m_impl->m_exchange == nullptr || !m_impl->m_exchange->IsReusable()) {
    m_impl->m_exchange = std::make_shared<pvt::Exchange>(
        boost::asio::any_io_executor(m_impl->m_io.get_executor()),
        m_impl->m_address);
  }
  Result<HttpResponse> result =
      Fail(ErrorCode::kTimeout, "no answer from " + m_impl->m_address);
  m_impl->m_exchange->Send(request, deadline,
                           [&result](Result<HttpResponse> response) {
                             result = std::move(response);
                           });
  m_impl->m_io.restart();
  m_impl->m_io.run();
  if (!m_impl->m_exchange->IsReusable()) {
    m_impl->m_exchange.reset();
  }
  return result;
}

Result<HttpResponse> SendSingleRequest(const std::string& address,
                                       const std::string& method,
                                       const std::string& target,
                                       const std::string& body,
                                       TimePoint deadline) {
  HttpClient client(address);
  HttpRequest request;
  request.m_method = method;
  request.m_target = target;
  request.m_body = body;
  return client.Send(request, deadline);
}

}  // namespace hyssopspar
