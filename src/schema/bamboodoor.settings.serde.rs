impl serde::Serialize for AgentSettings {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if !self.listen.is_empty() {
            len += 1;
        }
        if !self.operators_listen.is_empty() {
            len += 1;
        }
        if !self.region.is_empty() {
            len += 1;
        }
        if !self.zone.is_empty() {
            len += 1;
        }
        if !self.pool.is_empty() {
            len += 1;
        }
        if !self.upstream.is_empty() {
            len += 1;
        }
        if self.heartbeat_ms != 0 {
            len += 1;
        }
        if self.lease_ttl_ms != 0 {
            len += 1;
        }
        if self.tombstone_ms != 0 {
            len += 1;
        }
        if self.max_manifest_bytes != 0 {
            len += 1;
        }
        if !self.statsd.is_empty() {
            len += 1;
        }
        if !self.log_level.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.settings.AgentSettings", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if !self.listen.is_empty() {
            struct_ser.serialize_field("listen", &self.listen)?;
        }
        if !self.operators_listen.is_empty() {
            struct_ser.serialize_field("operators_listen", &self.operators_listen)?;
        }
        if !self.region.is_empty() {
            struct_ser.serialize_field("region", &self.region)?;
        }
        if !self.zone.is_empty() {
            struct_ser.serialize_field("zone", &self.zone)?;
        }
        if !self.pool.is_empty() {
            struct_ser.serialize_field("pool", &self.pool)?;
        }
        if !self.upstream.is_empty() {
            struct_ser.serialize_field("upstream", &self.upstream)?;
        }
        if self.heartbeat_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("heartbeat_ms", ToString::to_string(&self.heartbeat_ms).as_str())?;
        }
        if self.lease_ttl_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("lease_ttl_ms", ToString::to_string(&self.lease_ttl_ms).as_str())?;
        }
        if self.tombstone_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("tombstone_ms", ToString::to_string(&self.tombstone_ms).as_str())?;
        }
        if self.max_manifest_bytes != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("max_manifest_bytes", ToString::to_string(&self.max_manifest_bytes).as_str())?;
        }
        if !self.statsd.is_empty() {
            struct_ser.serialize_field("statsd", &self.statsd)?;
        }
        if !self.log_level.is_empty() {
            struct_ser.serialize_field("log_level", &self.log_level)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for AgentSettings {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "listen",
            "operators_listen",
            "operatorsListen",
            "region",
            "zone",
            "pool",
            "upstream",
            "heartbeat_ms",
            "heartbeatMs",
            "lease_ttl_ms",
            "leaseTtlMs",
            "tombstone_ms",
            "tombstoneMs",
            "max_manifest_bytes",
            "maxManifestBytes",
            "statsd",
            "log_level",
            "logLevel",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Listen,
            OperatorsListen,
            Region,
            Zone,
            Pool,
            Upstream,
            HeartbeatMs,
            LeaseTtlMs,
            TombstoneMs,
            MaxManifestBytes,
            Statsd,
            LogLevel,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "name" => Ok(GeneratedField::Name),
                            "listen" => Ok(GeneratedField::Listen),
                            "operatorsListen" | "operators_listen" => Ok(GeneratedField::OperatorsListen),
                            "region" => Ok(GeneratedField::Region),
                            "zone" => Ok(GeneratedField::Zone),
                            "pool" => Ok(GeneratedField::Pool),
                            "upstream" => Ok(GeneratedField::Upstream),
                            "heartbeatMs" | "heartbeat_ms" => Ok(GeneratedField::HeartbeatMs),
                            "leaseTtlMs" | "lease_ttl_ms" => Ok(GeneratedField::LeaseTtlMs),
                            "tombstoneMs" | "tombstone_ms" => Ok(GeneratedField::TombstoneMs),
                            "maxManifestBytes" | "max_manifest_bytes" => Ok(GeneratedField::MaxManifestBytes),
                            "statsd" => Ok(GeneratedField::Statsd),
                            "logLevel" | "log_level" => Ok(GeneratedField::LogLevel),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = AgentSettings;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.settings.AgentSettings")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<AgentSettings, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut listen__ = None;
                let mut operators_listen__ = None;
                let mut region__ = None;
                let mut zone__ = None;
                let mut pool__ = None;
                let mut upstream__ = None;
                let mut heartbeat_ms__ = None;
                let mut lease_ttl_ms__ = None;
                let mut tombstone_ms__ = None;
                let mut max_manifest_bytes__ = None;
                let mut statsd__ = None;
                let mut log_level__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Listen => {
                            if listen__.is_some() {
                                return Err(serde::de::Error::duplicate_field("listen"));
                            }
                            listen__ = Some(map_.next_value()?);
                        }
                        GeneratedField::OperatorsListen => {
                            if operators_listen__.is_some() {
                                return Err(serde::de::Error::duplicate_field("operatorsListen"));
                            }
                            operators_listen__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Region => {
                            if region__.is_some() {
                                return Err(serde::de::Error::duplicate_field("region"));
                            }
                            region__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Zone => {
                            if zone__.is_some() {
                                return Err(serde::de::Error::duplicate_field("zone"));
                            }
                            zone__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Pool => {
                            if pool__.is_some() {
                                return Err(serde::de::Error::duplicate_field("pool"));
                            }
                            pool__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Upstream => {
                            if upstream__.is_some() {
                                return Err(serde::de::Error::duplicate_field("upstream"));
                            }
                            upstream__ = Some(map_.next_value()?);
                        }
                        GeneratedField::HeartbeatMs => {
                            if heartbeat_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("heartbeatMs"));
                            }
                            heartbeat_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::LeaseTtlMs => {
                            if lease_ttl_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("leaseTtlMs"));
                            }
                            lease_ttl_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::TombstoneMs => {
                            if tombstone_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("tombstoneMs"));
                            }
                            tombstone_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxManifestBytes => {
                            if max_manifest_bytes__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxManifestBytes"));
                            }
                            max_manifest_bytes__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Statsd => {
                            if statsd__.is_some() {
                                return Err(serde::de::Error::duplicate_field("statsd"));
                            }
                            statsd__ = Some(map_.next_value()?);
                        }
                        GeneratedField::LogLevel => {
                            if log_level__.is_some() {
                                return Err(serde::de::Error::duplicate_field("logLevel"));
                            }
                            log_level__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(AgentSettings {
                    name: name__.unwrap_or_default(),
                    listen: listen__.unwrap_or_default(),
                    operators_listen: operators_listen__.unwrap_or_default(),
                    region: region__.unwrap_or_default(),
                    zone: zone__.unwrap_or_default(),
                    pool: pool__.unwrap_or_default(),
                    upstream: upstream__.unwrap_or_default(),
                    heartbeat_ms: heartbeat_ms__.unwrap_or_default(),
                    lease_ttl_ms: lease_ttl_ms__.unwrap_or_default(),
                    tombstone_ms: tombstone_ms__.unwrap_or_default(),
                    max_manifest_bytes: max_manifest_bytes__.unwrap_or_default(),
                    statsd: statsd__.unwrap_or_default(),
                    log_level: log_level__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.settings.AgentSettings", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for EntrySettings {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if !self.listen.is_empty() {
            len += 1;
        }
        if !self.operators_listen.is_empty() {
            len += 1;
        }
        if !self.region.is_empty() {
            len += 1;
        }
        if !self.zone.is_empty() {
            len += 1;
        }
        if !self.log.is_empty() {
            len += 1;
        }
        if !self.instance_list.is_empty() {
            len += 1;
        }
        if self.heartbeat_ms != 0 {
            len += 1;
        }
        if self.lease_ttl_ms != 0 {
            len += 1;
        }
        if self.list_poll_ms != 0 {
            len += 1;
        }
        if self.max_body_bytes != 0 {
            len += 1;
        }
        if self.max_header_bytes != 0 {
            len += 1;
        }
        if self.body_read_ms != 0 {
            len += 1;
        }
        if self.idle_ms != 0 {
            len += 1;
        }
        if self.max_connections != 0 {
            len += 1;
        }
        if self.max_manifest_bytes != 0 {
            len += 1;
        }
        if self.claim_batch_ms != 0 {
            len += 1;
        }
        if !self.statsd.is_empty() {
            len += 1;
        }
        if self.random_seed != 0 {
            len += 1;
        }
        if !self.log_level.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.settings.EntrySettings", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if !self.listen.is_empty() {
            struct_ser.serialize_field("listen", &self.listen)?;
        }
        if !self.operators_listen.is_empty() {
            struct_ser.serialize_field("operators_listen", &self.operators_listen)?;
        }
        if !self.region.is_empty() {
            struct_ser.serialize_field("region", &self.region)?;
        }
        if !self.zone.is_empty() {
            struct_ser.serialize_field("zone", &self.zone)?;
        }
        if !self.log.is_empty() {
            struct_ser.serialize_field("log", &self.log)?;
        }
        if !self.instance_list.is_empty() {
            struct_ser.serialize_field("instance_list", &self.instance_list)?;
        }
        if self.heartbeat_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("heartbeat_ms", ToString::to_string(&self.heartbeat_ms).as_str())?;
        }
        if self.lease_ttl_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("lease_ttl_ms", ToString::to_string(&self.lease_ttl_ms).as_str())?;
        }
        if self.list_poll_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("list_poll_ms", ToString::to_string(&self.list_poll_ms).as_str())?;
        }
        if self.max_body_bytes != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("max_body_bytes", ToString::to_string(&self.max_body_bytes).as_str())?;
        }
        if self.max_header_bytes != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("max_header_bytes", ToString::to_string(&self.max_header_bytes).as_str())?;
        }
        if self.body_read_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("body_read_ms", ToString::to_string(&self.body_read_ms).as_str())?;
        }
        if self.idle_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("idle_ms", ToString::to_string(&self.idle_ms).as_str())?;
        }
        if self.max_connections != 0 {
            struct_ser.serialize_field("max_connections", &self.max_connections)?;
        }
        if self.max_manifest_bytes != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("max_manifest_bytes", ToString::to_string(&self.max_manifest_bytes).as_str())?;
        }
        if self.claim_batch_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("claim_batch_ms", ToString::to_string(&self.claim_batch_ms).as_str())?;
        }
        if !self.statsd.is_empty() {
            struct_ser.serialize_field("statsd", &self.statsd)?;
        }
        if self.random_seed != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("random_seed", ToString::to_string(&self.random_seed).as_str())?;
        }
        if !self.log_level.is_empty() {
            struct_ser.serialize_field("log_level", &self.log_level)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for EntrySettings {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "listen",
            "operators_listen",
            "operatorsListen",
            "region",
            "zone",
            "log",
            "instance_list",
            "instanceList",
            "heartbeat_ms",
            "heartbeatMs",
            "lease_ttl_ms",
            "leaseTtlMs",
            "list_poll_ms",
            "listPollMs",
            "max_body_bytes",
            "maxBodyBytes",
            "max_header_bytes",
            "maxHeaderBytes",
            "body_read_ms",
            "bodyReadMs",
            "idle_ms",
            "idleMs",
            "max_connections",
            "maxConnections",
            "max_manifest_bytes",
            "maxManifestBytes",
            "claim_batch_ms",
            "claimBatchMs",
            "statsd",
            "random_seed",
            "randomSeed",
            "log_level",
            "logLevel",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Listen,
            OperatorsListen,
            Region,
            Zone,
            Log,
            InstanceList,
            HeartbeatMs,
            LeaseTtlMs,
            ListPollMs,
            MaxBodyBytes,
            MaxHeaderBytes,
            BodyReadMs,
            IdleMs,
            MaxConnections,
            MaxManifestBytes,
            ClaimBatchMs,
            Statsd,
            RandomSeed,
            LogLevel,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "name" => Ok(GeneratedField::Name),
                            "listen" => Ok(GeneratedField::Listen),
                            "operatorsListen" | "operators_listen" => Ok(GeneratedField::OperatorsListen),
                            "region" => Ok(GeneratedField::Region),
                            "zone" => Ok(GeneratedField::Zone),
                            "log" => Ok(GeneratedField::Log),
                            "instanceList" | "instance_list" => Ok(GeneratedField::InstanceList),
                            "heartbeatMs" | "heartbeat_ms" => Ok(GeneratedField::HeartbeatMs),
                            "leaseTtlMs" | "lease_ttl_ms" => Ok(GeneratedField::LeaseTtlMs),
                            "listPollMs" | "list_poll_ms" => Ok(GeneratedField::ListPollMs),
                            "maxBodyBytes" | "max_body_bytes" => Ok(GeneratedField::MaxBodyBytes),
                            "maxHeaderBytes" | "max_header_bytes" => Ok(GeneratedField::MaxHeaderBytes),
                            "bodyReadMs" | "body_read_ms" => Ok(GeneratedField::BodyReadMs),
                            "idleMs" | "idle_ms" => Ok(GeneratedField::IdleMs),
                            "maxConnections" | "max_connections" => Ok(GeneratedField::MaxConnections),
                            "maxManifestBytes" | "max_manifest_bytes" => Ok(GeneratedField::MaxManifestBytes),
                            "claimBatchMs" | "claim_batch_ms" => Ok(GeneratedField::ClaimBatchMs),
                            "statsd" => Ok(GeneratedField::Statsd),
                            "randomSeed" | "random_seed" => Ok(GeneratedField::RandomSeed),
                            "logLevel" | "log_level" => Ok(GeneratedField::LogLevel),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = EntrySettings;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.settings.EntrySettings")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<EntrySettings, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut listen__ = None;
                let mut operators_listen__ = None;
                let mut region__ = None;
                let mut zone__ = None;
                let mut log__ = None;
                let mut instance_list__ = None;
                let mut heartbeat_ms__ = None;
                let mut lease_ttl_ms__ = None;
                let mut list_poll_ms__ = None;
                let mut max_body_bytes__ = None;
                let mut max_header_bytes__ = None;
                let mut body_read_ms__ = None;
                let mut idle_ms__ = None;
                let mut max_connections__ = None;
                let mut max_manifest_bytes__ = None;
                let mut claim_batch_ms__ = None;
                let mut statsd__ = None;
                let mut random_seed__ = None;
                let mut log_level__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Listen => {
                            if listen__.is_some() {
                                return Err(serde::de::Error::duplicate_field("listen"));
                            }
                            listen__ = Some(map_.next_value()?);
                        }
                        GeneratedField::OperatorsListen => {
                            if operators_listen__.is_some() {
                                return Err(serde::de::Error::duplicate_field("operatorsListen"));
                            }
                            operators_listen__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Region => {
                            if region__.is_some() {
                                return Err(serde::de::Error::duplicate_field("region"));
                            }
                            region__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Zone => {
                            if zone__.is_some() {
                                return Err(serde::de::Error::duplicate_field("zone"));
                            }
                            zone__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Log => {
                            if log__.is_some() {
                                return Err(serde::de::Error::duplicate_field("log"));
                            }
                            log__ = Some(map_.next_value()?);
                        }
                        GeneratedField::InstanceList => {
                            if instance_list__.is_some() {
                                return Err(serde::de::Error::duplicate_field("instanceList"));
                            }
                            instance_list__ = Some(map_.next_value()?);
                        }
                        GeneratedField::HeartbeatMs => {
                            if heartbeat_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("heartbeatMs"));
                            }
                            heartbeat_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::LeaseTtlMs => {
                            if lease_ttl_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("leaseTtlMs"));
                            }
                            lease_ttl_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::ListPollMs => {
                            if list_poll_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("listPollMs"));
                            }
                            list_poll_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxBodyBytes => {
                            if max_body_bytes__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxBodyBytes"));
                            }
                            max_body_bytes__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxHeaderBytes => {
                            if max_header_bytes__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxHeaderBytes"));
                            }
                            max_header_bytes__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::BodyReadMs => {
                            if body_read_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("bodyReadMs"));
                            }
                            body_read_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::IdleMs => {
                            if idle_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("idleMs"));
                            }
                            idle_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxConnections => {
                            if max_connections__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxConnections"));
                            }
                            max_connections__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxManifestBytes => {
                            if max_manifest_bytes__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxManifestBytes"));
                            }
                            max_manifest_bytes__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::ClaimBatchMs => {
                            if claim_batch_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("claimBatchMs"));
                            }
                            claim_batch_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Statsd => {
                            if statsd__.is_some() {
                                return Err(serde::de::Error::duplicate_field("statsd"));
                            }
                            statsd__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RandomSeed => {
                            if random_seed__.is_some() {
                                return Err(serde::de::Error::duplicate_field("randomSeed"));
                            }
                            random_seed__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::LogLevel => {
                            if log_level__.is_some() {
                                return Err(serde::de::Error::duplicate_field("logLevel"));
                            }
                            log_level__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(EntrySettings {
                    name: name__.unwrap_or_default(),
                    listen: listen__.unwrap_or_default(),
                    operators_listen: operators_listen__.unwrap_or_default(),
                    region: region__.unwrap_or_default(),
                    zone: zone__.unwrap_or_default(),
                    log: log__.unwrap_or_default(),
                    instance_list: instance_list__.unwrap_or_default(),
                    heartbeat_ms: heartbeat_ms__.unwrap_or_default(),
                    lease_ttl_ms: lease_ttl_ms__.unwrap_or_default(),
                    list_poll_ms: list_poll_ms__.unwrap_or_default(),
                    max_body_bytes: max_body_bytes__.unwrap_or_default(),
                    max_header_bytes: max_header_bytes__.unwrap_or_default(),
                    body_read_ms: body_read_ms__.unwrap_or_default(),
                    idle_ms: idle_ms__.unwrap_or_default(),
                    max_connections: max_connections__.unwrap_or_default(),
                    max_manifest_bytes: max_manifest_bytes__.unwrap_or_default(),
                    claim_batch_ms: claim_batch_ms__.unwrap_or_default(),
                    statsd: statsd__.unwrap_or_default(),
                    random_seed: random_seed__.unwrap_or_default(),
                    log_level: log_level__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.settings.EntrySettings", FIELDS, GeneratedVisitor)
    }
}
