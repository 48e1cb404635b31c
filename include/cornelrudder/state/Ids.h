#ifndef CORNELRUDDER_STATE_IDS_H
#define CORNELRUDDER_STATE_IDS_H

#include <compare>
#include <string>
#include <string_view>

namespace cornelrudder::state {

/** Longest accepted identifier, in bytes. */
inline constexpr std::size_t kMaxIdLength = 64;

/**
 * Checks an identifier: 1 to 64 characters of A-Z, a-z, 0-9, '.', '_', '-'.
 * @return Whether the text may be used as a path segment and a header value.
 */
bool
IsValidId(std::string_view aText);

/**
 * Checks an identifier.
 * @param aKind Kind of the identifier, for the error message.
 * @throws StateError if IsValidId() is false for the text.
 */
void
RequireValidId(std::string_view aKind, std::string_view aText);

/** Identifier of one kind; different kinds do not convert to each other. */
template<typename Tag>
class Id
{
public:
  /** @throws StateError if the text is not a valid identifier. */
  explicit Id(std::string aText)
    : mText(std::move(aText))
  {
    RequireValidId(Tag::kKind, mText);
  }

  const std::string& Text() const { return mText; }

  auto operator<=>(const Id&) const = default;

private:
  std::string mText;
};

struct OrganisationTag
{
  static constexpr std::string_view kKind = "organisation";
};
struct TeamTag
{
  static constexpr std::string_view kKind = "team";
};
struct ClassTag
{
  static constexpr std::string_view kKind = "class";
};
struct ShapeTag
{
  static constexpr std::string_view kKind = "shape";
};
struct VmTag
{
  static constexpr std::string_view kKind = "VM";
};
struct RackTag
{
  static constexpr std::string_view kKind = "rack";
};
struct ZoneTag
{
  static constexpr std::string_view kKind = "availability zone";
};
struct RegionTag
{
  static constexpr std::string_view kKind = "region";
};
struct RequestTag
{
  static constexpr std::string_view kKind = "request";
};
struct JobTag
{
  static constexpr std::string_view kKind = "job";
};

using OrganisationId = Id<OrganisationTag>;
using TeamId = Id<TeamTag>;
using ClassName = Id<ClassTag>;
using ShapeName = Id<ShapeTag>;
using VmId = Id<VmTag>;
using RackId = Id<RackTag>;
using ZoneId = Id<ZoneTag>;
using RegionId = Id<RegionTag>;
using RequestId = Id<RequestTag>;
using JobId = Id<JobTag>;

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_IDS_H
