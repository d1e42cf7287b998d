//! Strongly typed names and numbers used across the modules.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenmount {

//! A name that can't be mixed up with a name of another kind.
template <typename Tag>
struct basic_name {
    std::string value;

    auto operator<=>(const basic_name&) const = default;  // NOLINT(modernize-use-nullptr)

    [[nodiscard]] bool empty() const {
        return value.empty();
    }
};

using instance_id = basic_name<struct instance_tag>;      //!< drawn anew at each process start
using zone_name = basic_name<struct zone_tag>;            //!< availability zone
using workspace_name = basic_name<struct workspace_tag>;  //!< a customer's workspace
using plan_name = basic_name<struct plan_tag>;            //!< a plan that workspaces hold
using upstream_id = basic_name<struct upstream_tag>;      //!< one back end instance
using pool_name = basic_name<struct pool_tag>;            //!< upstreams of the same kind
using pipeline_name = basic_name<struct pipeline_tag>;    //!< a named list of stages
using stage_name = basic_name<struct stage_tag>;          //!< one step of a pipeline
using request_id = basic_name<struct request_tag>;        //!< drawn for each accepted request
using idempotency_key = basic_name<struct key_tag>;       //!< chosen by the caller
using fingerprint = basic_name<struct fingerprint_tag>;   //!< hash of workspace, target and body

//! Identifies one attempt of one stage of one request, unique over the fleet.
using attempt_id = basic_name<struct attempt_tag>;

using generation_number = std::uint64_t;  //!< of the roster; also the fencing number
using object_version = std::uint64_t;     //!< of an object in the Object API; 0 means absent
using ticket = std::uint64_t;             //!< links a question with its decision in one process

}  // namespace cyclamenmount

template <typename Tag>
struct std::hash<cyclamenmount::basic_name<Tag>> {
    std::size_t operator()(const cyclamenmount::basic_name<Tag>& name) const noexcept {
        return std::hash<std::string>{}(name.value);
    }
};
