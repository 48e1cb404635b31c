#ifndef CORNELRUDDER_PROTOCOL_HTTP_MESSAGE_H
#define CORNELRUDDER_PROTOCOL_HTTP_MESSAGE_H

#include <map>
#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** Header values by lower-case name. */
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/** An HTTP request without its connection. */
class HttpRequest
{
public:
  HttpRequest(std::string aMethod,
              std::string aTarget,
              HttpHeaders aHeaders,
              std::string aBody)
    : mMethod(std::move(aMethod))
    , mTarget(std::move(aTarget))
    , mHeaders(std::move(aHeaders))
    , mBody(std::move(aBody))
  {
  }

  const std::string& Method() const { return mMethod; }

  /** Path with query. */
  const std::string& Target() const { return mTarget; }

  /** Path without query. */
  std::string_view Path() const
  {
    return std::string_view(mTarget).substr(0, mTarget.find('?'));
  }

  /** @return The value of a query parameter, not percent-decoded; empty if
   * absent. */
  std::string Query(std::string_view aName) const;

  const HttpHeaders& Headers() const { return mHeaders; }

  /**
   * @param aName Lower-case name.
   * @return The value; empty if absent.
   */
  std::string Header(std::string_view aName) const;

  const std::string& Body() const { return mBody; }

  auto operator<=>(const HttpRequest&) const = default;

private:
  std::string mMethod;
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
};

/** An HTTP response without its connection. */
class HttpResponse
{
public:
  HttpResponse() = default;

  HttpResponse(int aStatus, HttpHeaders aHeaders, std::string aBody)
    : mStatus(aStatus)
    , mHeaders(std::move(aHeaders))
    , mBody(std::move(aBody))
  {
  }

  /** @return A response with a JSON body. */
  static HttpResponse Json(int aStatus, std::string aBody);

  int Status() const { return mStatus; }
  const HttpHeaders& Headers() const { return mHeaders; }
  std::string Header(std::string_view aName) const;
  const std::string& Body() const { return mBody; }

  auto operator<=>(const HttpResponse&) const = default;

private:
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_HTTP_MESSAGE_H
