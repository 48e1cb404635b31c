#ifndef CORNELRUDDER_COORDINATION_WRITE_ID_GENERATOR_H
#define CORNELRUDDER_COORDINATION_WRITE_ID_GENERATOR_H

#include <cstdint>
#include <string>

namespace cornelrudder::coordination {

/** Generates write ids that are unique across all daemons and restarts. */
class WriteIdGenerator
{
public:
  /** @param aPrefix Unique to this run of the process. */
  explicit WriteIdGenerator(std::string aPrefix)
    : mPrefix(std::move(aPrefix))
  {
  }

  std::string Next() { return mPrefix + "-" + std::to_string(++mCount); }

private:
  std::string mPrefix;
  std::uint64_t mCount = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_WRITE_ID_GENERATOR_H
