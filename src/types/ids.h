//! Strongly typed names and ids.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenmount {

//! A string with a type of its own, so that names of different kinds can't be confused.
template <typename Tag>
struct basic_name {
    std::string value;

    auto operator<=>(const basic_name&) const = default;  // NOLINT(modernize-use-nullptr)

    [[nodiscard]] bool empty() const {
        return value.empty();
    }
};

using instance_id = basic_name<struct instance_tag>;      //!< random, new at each process start
using zone_name = basic_name<struct zone_tag>;            //!< availability zone
using workspace_name = basic_name<struct workspace_tag>;  //!< a customer's workspace
using plan_name = basic_name<struct plan_tag>;            //!< a plan in the allowance list
using upstream_id = basic_name<struct upstream_tag>;      //!< one back end process
using pool_name = basic_name<struct pool_tag>;            //!< a group of interchangeable upstreams
using software_version = basic_name<struct version_tag>;  //!< of an upstream's software
using pipeline_name = basic_name<struct pipeline_tag>;    //!< a sequence of stages
using stage_name = basic_name<struct stage_tag>;          //!< one step of a pipeline
using request_id = basic_name<struct request_tag>;        //!< id of one accepted request
using idempotency_key = basic_name<struct key_tag>;       //!< request key chosen by the caller
using fingerprint = basic_name<struct fingerprint_tag>;   //!< hash of caller, target and body

//! Identifies one attempt of one stage of one request, unique over the fleet.
using attempt_id = basic_name<struct attempt_tag>;

using generation_number = std::uint64_t;  //!< number of a roster version; also a fencing token
using object_version = std::uint64_t;     //!< version of a stored object; 0 if absent
using ticket = std::uint64_t;             //!< correlation number of a request and its decision

}  // namespace cyclamenmount

template <typename Tag>
struct std::hash<cyclamenmount::basic_name<Tag>> {
    std::size_t operator()(const cyclamenmount::basic_name<Tag>& name) const noexcept {
        return std::hash<std::string>{}(name.value);
    }
};
