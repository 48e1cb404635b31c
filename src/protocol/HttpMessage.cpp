#include "cornelrudder/protocol/HttpMessage.h"

namespace cornelrudder::protocol {

namespace {

std::string
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  const auto it = aHeaders.find(aName);
  return it != aHeaders.end() ? it->second : std::string();
}

} // namespace

std::string
HttpRequest::Query(std::string_view aName) const
{
  const auto start = mTarget.find('?');
  if (start == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(mTarget).substr(start + 1);
  while (!rest.empty()) {
    const auto n = rest.find('&');
    const std::string_view pair = rest.substr(0, n);
    const auto m = pair.find('=');
    if (pair.substr(0, m) == aName && m != std::string_view::npos) {
      return std::string(pair.substr(m + 1));
    }
    rest.remove_prefix(n == std::string_view::npos ? rest.size() : n + 1);
  }
  return {};
}

std::string
HttpRequest::Header(std::string_view aName) const
{
  return FindHeader(mHeaders, aName);
}

std::string
HttpResponse::Header(std::string_view aName) const
{
  return FindHeader(mHeaders, aName);
}

HttpResponse
HttpResponse::Json(int aStatus, std::string aBody)
{
  return { aStatus,
           { { "content-type", "application/json" } },
           std::move(aBody) };
}

} // namespace cornelrudder::protocol
