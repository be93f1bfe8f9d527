import random,sys
def R(r,a,b): return round(r.uniform(a,b),2)
L='fedel-lm';A='fedel-app'
Z=['buda-a','pest-b','obuda-c']
def kinds(r):
    c=r.choice
    svc=lambda: c([L,A])
    return {
     'aak': lambda: (0,dict(kind='after_ack_kill',for_s=3.0,how=c(['kill','kill timed','']))),
     'al': lambda: (0,dict(kind='answer_lost',share=0.6,x=0.4,for_s=6.58,how=c(['reset','']),service=svc())),
     'late': lambda: (0,dict(kind='applied_late',x=0.35,for_s=6.0,how='orders')),
     'big': lambda: (1,dict(kind='big_config',count=350)),
     'burst': lambda: (0,dict(kind='burst',x=1.7,for_s=3.0)),
     'cfg': lambda: (1,dict(kind='config_change',how=c(['route','weights','timeout','idle']))),
     'cc': lambda: (0,dict(kind='core_cut',count=1,for_s=6.5,how=c(['','giver','leader race','lure','all','near','one_way','both','relieve','reader meet']))),
     'gar': lambda: (0,dict(kind='garble',share=0.6,x=0.05,for_s=5.5,how=c(['','extra','extra late','unframed','early']),service=svc())),
     'give': lambda: (0,dict(kind='give_up',share=0.3,for_s=5.5,x=1500.0)),
     'hs': lambda: (0,dict(kind='handle_short',share=0.35,for_s=4.4,service=L)),
     'hup': lambda: (1,dict(kind='hup',share=0.769,gap_s=2.0)),
     'kv': lambda: (0,dict(kind='kv_slow',share=0.32,for_s=5.5,service=L)),
     'lossy': lambda: (0,dict(kind='lossy',x=0.025,for_s=5.5,zone=c(Z))),
     'nc': lambda: (0,dict(kind='node_cut',share=0.35,for_s=12.0,how=c(['','all','servers','servers reborn','meet']))),
     'nf': lambda: (0,dict(kind='node_freeze',on='core',count=1,for_s=6.4,how=c(['leader','giver renewed','reader','renewed','giver']))),
     'nkc': lambda: (0,dict(kind='node_kill',on='core',count=1,for_s=3.8,how=c(['','power','leader race drain','meet drain','reader','giver hard']))),
     'nk': lambda: (0,dict(kind='node_kill',share=0.16,for_s=3.8,how=c(['','power']))),
     'ns': lambda: (0,dict(kind='node_slow',share=0.15,x=5.5,for_s=5.5)),
     'pc': lambda: (0,dict(kind='platform_compact',x=6.0,for_s=12.0,how=c(['','drain']))),
     'pd': lambda: (0,dict(kind='platform_down',for_s=9.0,how=c(['silent','busy','reset','silent lapse','busy lapse']))),
     'pdn': lambda: (0,dict(kind='platform_down',for_s=9.0,share=0.35,how='nodes '+c(['busy','many','reset','leader busy','many revoke meet','busy revoke meet drain','silent drain','reader meet drain']))),
     'pl': lambda: (0,dict(kind='platform_lost',x=0.35,for_s=4.5,how=c(['late','late','']))),
     'ps': lambda: (0,dict(kind='platform_slow',x=96.0,for_s=4.5)),
     'rel': lambda: (1,dict(kind='release',share=0.522,x=1.0,gap_s=0.71,service=svc())),
     'rc': lambda: (1,dict(kind='replace_core',x=4.0,how=c(['leader','planned','','giver']))),
     'ra': lambda: (0,dict(kind='retry_abuse',x=3.0,share=0.3,for_s=5.5)),
     'rt': lambda: (1,dict(kind='roll_term',share=1.0,x=1.0,gap_s=c([1.0,2.0]),how=c(['','busy','leader']))),
     'si': lambda: (1,dict(kind='scale_in',share=0.25,service=svc(),how=c(['','spot']))),
     'so': lambda: (1,dict(kind='scale_out',share=0.25,gap_s=2.0,service=svc())),
     'sc': lambda: (0,dict(kind='srv_crash',service=svc(),share=0.25,for_s=4.8,how=c(['','dark','gone','domain','rack']))),
     'sg': lambda: (0,dict(kind='srv_grey',service=svc(),share=0.14,for_s=6.5,x=0.45,how=c(['errors','shed','busy','hang','reset','mute','slow']))),
     'zc': lambda: (0,dict(kind='zone_cut',for_s=6.5,how=c(['drop','drop meet','reset','']),zone=c(Z))),
     'ss': lambda: (0,dict(kind='srv_slow',share=0.15,x=4.0,for_s=6.0,service=svc())),
     'scut': lambda: (0,dict(kind='srv_cut',share=0.2,for_s=6.0,service=svc(),how=c(['','fronts','some','some lossy','one_way','reset','reborn']))),
     'reuse': lambda: (0,dict(kind='replace_with_reuse',share=0.15,service=svc(),how=c(['','drain','dark']))),
     'hk': lambda: (0,dict(kind='herd_kill',share=0.6,how=c(['','power']),for_s=3.0)),
     'hkc': lambda: (0,dict(kind='herd_kill',on='core',share=0.6,how=c(['off','']))),
     'clk': lambda: (0,dict(kind='clock_step',share=0.3,x=2000.0,for_s=5.0,how=c(['back','ahead']))),
     'storm': lambda: (1,dict(kind='config_storm',for_s=4.0,gap_s=r.choice([0.08,0.33]))),
     'rst': lambda: (0,dict(kind='reset_conns',share=0.1,x=0.5)),
    }
G={
 'streams':'sg sg sg sg gar gar gar gar sc sc kv hs hs scut al ss rt',
 'unsafe':'al al al gar gar gar gar sc reuse rel sg rt rt nk cfg scut',
 'config':'cfg cfg cfg cfg cfg nkc pl pl cc nf aak aak pdn big rt pc hup nc',
 'member':'si si rel rel reuse reuse pdn cc pc nkc rt so pd scut',
 'orders':'sc sc late late late nkc nf cc nc nc si so burst pl ps rc pdn',
 'budget':'al al sg sg ra ra ra hk rt nk sc burst rc hs hs hs',
 'paths':'scut scut scut nc nc nc gar give give rt cfg al sc',
 'beats':'pl pl pl si si rel rel reuse so',
 'beats2':'pl pl ps si si si rel pd pdn rt hkc',
 'lastorders':'pl late nkc nf sc sc sc sc nc cc',
 'freeze':'nf nf nf nf si rel cfg cfg al reuse',
 'all':'',
}
def main(seed,path):
    r=random.Random(seed)
    K=kinds(r)
    g='stack'
    names=r.sample(list(K),r.choice([1,2,2,3,3,4]))
    per=r.choice([4,8,12])
    plan=[];faults=[]
    for nm in names:
        st=r.getstate()
        fixed=K[nm]() if r.random()<.6 else None
        start=r.choice([0.0,0.0,R(r,0,3),R(r,1,12),R(r,24,32)]); gap=r.choice([0.3,0.7,1.5,2.5])
        for i in range(min(per,40//len(names))):
            at=round(start+i*gap+r.uniform(0,0.2),2)
            if at>40: break
            w,k=fixed if fixed else K[nm]()
            (plan if w else faults).append({'at':at,**k})
    g='stack_'+'_'.join(names)+'_'
    fmt=lambda v:'"%s"'%v if isinstance(v,str) else str(v)
    o='name = "%s%d"\nlength_s = 41.0\n'%(g,seed)
    for nm,l in(('plan',plan),('faults',faults)):
        o+=nm+' = [\n'+''.join('  { '+', '.join('%s = %s'%(a,fmt(b)) for a,b in e.items())+' },\n' for e in l)+']\n'
    if r.random()<.3:
        o+='closing = { kind = "%s", down_s = %s, how = "%s" }\n'%(r.choice(['power_off_all','kill_all','wipe_after_ack']),r.choice([0.7,1.3]),r.choice(['','all','timed','taken']))
    open(path,'w').write(o)
main(int(sys.argv[1]),sys.argv[2])
